package document

import (
	"crypto/sha256"
	"os"
	"path/filepath"
	"testing"

	"go.yaml.in/yaml/v3"
)

func readExample(t *testing.T, elements ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(append([]string{"..", "examples"}, elements...)...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The examples must stay valid, and every development key, token and credential must match its document.
func TestExamples(t *testing.T) {
	for _, name := range []string{"kerdrean", "wendover"} {
		t.Run(name, func(t *testing.T) {
			c := mustCompile(t, string(readExample(t, name, "document.yaml")))
			if len(c.Regions) != 3 || len(c.Services) != 4 || len(c.regionOf) != 6 {
				t.Errorf("regions, services, failure domains = %d, %d, %d", len(c.Regions), len(c.Services), len(c.regionOf))
			}
			checkSecrets(t, c, readExample(t, name, "dev-tokens.yaml"))
			files, _ := filepath.Glob(filepath.Join("..", "examples", name, "dev-key-*.yaml"))
			for _, file := range files {
				key, problems := ParseKeyFile(file, readExample(t, name, filepath.Base(file)))
				if len(problems) > 0 {
					t.Fatal(problems)
				}
				if public, ok := c.PublicKey(key.Signer, key.ID); !ok || !public.Equal(key.private().Public()) {
					t.Errorf("%s does not match the document", file)
				}
			}
			if len(files) != 4 {
				t.Errorf("%d key files, want 4", len(files))
			}
		})
	}
}

func checkSecrets(t *testing.T, c *Config, text []byte) {
	var secrets struct{ Callers, Services map[string]string }
	if err := yaml.Unmarshal(text, &secrets); err != nil {
		t.Fatal(err)
	}
	for name, token := range secrets.Callers {
		if caller, ok := c.CallerByToken(token); !ok || caller.Tenant.ID()+"/"+caller.Name != name {
			t.Errorf("token of %s does not match the document", name)
		}
	}
	for name, credential := range secrets.Services {
		if s, ok := c.Service(name); !ok || s.Credential != sha256.Sum256([]byte(credential)) {
			t.Errorf("credential of %s does not match the document", name)
		}
	}
	if len(secrets.Callers) != len(c.callers) || len(secrets.Services) != len(c.Services) {
		t.Errorf("%d tokens and %d credentials", len(secrets.Callers), len(secrets.Services))
	}
}

// All ten mistakes of the example must be found in one run.
func TestMistakesExample(t *testing.T) {
	_, problems := Parse("document.yaml", readExample(t, "mistakes", "document.yaml"))
	lines := map[int]bool{}
	for _, p := range problems {
		lines[p.Line] = true
	}
	if len(problems) != 10 || len(lines) != 10 {
		t.Errorf("%d problems on %d lines, want 10:\n%v", len(problems), len(lines), problems)
	}
}
