package operator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"heatherwall.example/document"
	"heatherwall.example/settings"
)

const (
	defaultTimeout     = 15 * time.Second
	maxClientFileBytes = 64 << 10
	maxKeyFileBytes    = 4 << 10
)

// clientFile is the content of the YAML file given by -client.
type clientFile struct {
	// Control lists the control replicas, the nearest first.
	Control []settings.Replica `yaml:"control"`
	TLS     settings.TLS       `yaml:"tls"`
	// Keys lists signing key files. They are used if no -key flag is given.
	Keys []string `yaml:"keys"`
}

// options holds the flags that several subcommands share, and the client file merged with them.
type options struct {
	clientPath       string
	clientFile       clientFile
	controlAddresses stringList
	tlsFlags         settings.TLS
	timeout          time.Duration
	json             bool
	keyPaths         stringList
	id               string
	comment          string
	wait             bool
	// capacityMode selects the action if the remaining failure domains cannot carry the load.
	capacityMode string
}

// stringList is the value of a flag that may be repeated.
type stringList []string

func (l *stringList) String() string { return strings.Join(*l, ",") }

func (l *stringList) Set(value string) error {
	*l = append(*l, value)
	return nil
}

func (c *invocation) addJSONFlag() {
	c.flags.BoolVar(&c.options.json, "json", false, "write JSON output for scripts")
}

// addConnectionFlags registers the flags of subcommands that connect to control replicas.
func (c *invocation) addConnectionFlags() {
	o := &c.options
	c.addJSONFlag()
	c.flags.StringVar(&o.clientPath, "client", "", "YAML client `file` that lists the control replicas and the TLS files")
	c.flags.Var(&o.controlAddresses, "control", "`address` of a control replica, IP:PORT; may be repeated; overrides the replicas in the client file")
	c.flags.StringVar(&o.tlsFlags.Certificate, "cert", "", "PEM `file` with the operator's certificate")
	c.flags.StringVar(&o.tlsFlags.Key, "cert-key", "", "PEM `file` with the private key of the certificate")
	c.flags.StringVar(&o.tlsFlags.Authority, "ca", "", "PEM `file` with the certificate authority of the control replicas")
	c.flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit for the whole command")
}

// addChangeFlags registers the flags of subcommands that submit a change.
func (c *invocation) addChangeFlags() {
	o := &c.options
	c.addConnectionFlags()
	c.flags.Var(&o.keyPaths, "key", "signing key `file`; may be repeated")
	c.flags.StringVar(&o.id, "id", "", "`UUID` of the change; reuse it to resend the same change (default: a new UUID)")
	c.flags.StringVar(&o.comment, "comment", "", "`text` to record in the change history")
	c.flags.BoolVar(&o.wait, "wait", false, "wait until the change is in force at every gateway")
}

// loadClientConfig reads the client file and merges the flags into it. Flags take precedence over the file.
func (c *invocation) loadClientConfig() error {
	o := &c.options
	if o.timeout <= 0 {
		return c.usageError("expected -timeout above 0")
	}
	if o.clientPath != "" {
		text, err := readFile(o.clientPath, maxClientFileBytes)
		if err != nil {
			return c.usageError(err.Error())
		}
		d := yaml.NewDecoder(bytes.NewReader(text))
		d.KnownFields(true)
		if err := d.Decode(&o.clientFile); err != nil && !errors.Is(err, io.EOF) {
			return c.usageError(fmt.Sprintf("%s: %v", o.clientPath, err))
		}
	}
	o.mergeFlags()
	return c.validateClientConfig()
}

func (o *options) mergeFlags() {
	if len(o.controlAddresses) > 0 {
		o.clientFile.Control = nil
		for _, address := range o.controlAddresses {
			o.clientFile.Control = append(o.clientFile.Control, settings.Replica{Address: address})
		}
	}
	for _, pair := range []struct{ flag, file *string }{
		{&o.tlsFlags.Certificate, &o.clientFile.TLS.Certificate}, {&o.tlsFlags.Key, &o.clientFile.TLS.Key}, {&o.tlsFlags.Authority, &o.clientFile.TLS.Authority},
	} {
		if *pair.flag != "" {
			*pair.file = *pair.flag
		}
	}
	if len(o.keyPaths) == 0 {
		o.keyPaths = o.clientFile.Keys
	}
}

func (c *invocation) validateClientConfig() error {
	file := c.options.clientFile
	if len(file.Control) == 0 {
		return c.usageError("expected control replicas in -client or -control")
	}
	for _, replica := range file.Control {
		if _, err := netip.ParseAddrPort(replica.Address); err != nil {
			return c.usageError(fmt.Sprintf("control replica %q: expected IP:PORT", replica.Address))
		}
	}
	if file.TLS.Certificate == "" || file.TLS.Key == "" || file.TLS.Authority == "" {
		return c.usageError("expected TLS files in -client, or -cert, -cert-key and -ca")
	}
	return nil
}

// loadKeys reads the signing keys. A key that is given twice is a usage error.
func (c *invocation) loadKeys() ([]*document.PrivateKey, error) {
	if len(c.options.keyPaths) == 0 {
		return nil, c.usageError("expected a signing key in -key or in the client file")
	}
	var keys []*document.PrivateKey
	for _, file := range c.options.keyPaths {
		key, err := readKeyFile(file)
		if err != nil {
			return nil, c.usageError(err.Error())
		}
		duplicate := func(k *document.PrivateKey) bool { return k.Signer == key.Signer && k.ID == key.ID }
		if slices.ContainsFunc(keys, duplicate) {
			return nil, c.usageError("expected each signing key once; " + file + " repeats an earlier one")
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func readKeyFile(file string) (*document.PrivateKey, error) {
	text, err := readFile(file, maxKeyFileBytes)
	if err != nil {
		return nil, err
	}
	key, problems := document.ParseKeyFile(file, text)
	if len(problems) > 0 {
		return nil, problems
	}
	return key, nil
}

// readFile reads at most limit+1 bytes, so that the caller can detect and reject a file that is larger than limit.
func readFile(file string, limit int64) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, &FileError{Path: file, Err: err}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, &FileError{Path: file, Err: err}
	}
	return text, nil
}
