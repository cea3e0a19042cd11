package operator

import (
	"crypto/rand"
	"fmt"
	"os"

	"heatherwall.example/document"
)

const keyFileMode = 0o600

// keyResult is the JSON output of the subcommand key. It contains only the public part of the key.
type keyResult struct {
	Signer    string `json:"signer"`
	ID        string `json:"id"`
	PublicKey string `json:"public_key"`
}

// runKey generates a key file, or shows the public key of one. It never overwrites an existing file.
func runKey(c *invocation, args []string) error {
	c.addJSONFlag()
	signer := c.flags.String("signer", "", "`MEMBER` or MEMBER/TEAM that the new key signs for")
	id := c.flags.String("key-id", "k1", "`ID` of the new key in the document")
	positional, err := c.parse(args, 2)
	if err != nil {
		return err
	}
	switch positional[0] {
	case "new":
		return c.newKey(*signer, *id, positional[1])
	case "show":
		key, err := readKeyFile(positional[1])
		if err != nil {
			return err
		}
		return c.writeKey(key)
	}
	return c.usageError("expected new or show, got " + positional[0])
}

func (c *invocation) newKey(signer, id, file string) error {
	if signer == "" {
		return c.usageError("expected -signer")
	}
	key, err := document.GenerateKey(signer, id, rand.Reader)
	if err != nil {
		return c.usageError(err.Error())
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return &FileError{Path: file, Err: err}
	}
	if _, err := f.Write(key.FileContents()); err != nil {
		f.Close()
		return &FileError{Path: file, Err: err}
	}
	if err := f.Close(); err != nil {
		return &FileError{Path: file, Err: err}
	}
	return c.writeKey(key)
}

func (c *invocation) writeKey(key *document.PrivateKey) error {
	if c.options.json {
		return c.writeJSON(keyResult{Signer: key.Signer, ID: key.ID, PublicKey: key.PublicKeyBase64()})
	}
	fmt.Fprintf(c.stdout, "# for %s\n- {id: %s, public_key: %s}\n", key.Signer, key.ID, key.PublicKeyBase64())
	return nil
}
