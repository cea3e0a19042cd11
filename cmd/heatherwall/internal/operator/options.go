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
	defaultTimeout = 15 * time.Second
	// maxClientFile and maxKeyFile are sizes in bytes.
	maxClientFile = 64 << 10
	maxKeyFile    = 4 << 10
)

// clientFile is the YAML file of the flag -client.
type clientFile struct {
	// Control lists the control replicas, the nearest first.
	Control []settings.Replica `yaml:"control"`
	TLS     settings.TLS       `yaml:"tls"`
	// Keys are signing key files, used if no flag -key is given.
	Keys []string `yaml:"keys"`
}

// options are the flags that several subcommands share.
type options struct {
	client  string
	file    clientFile
	control list
	tls     settings.TLS
	timeout time.Duration
	json    bool
	keys    list
	id      string
	comment string
	wait    bool
	// capacity tells what to do if the remaining failure domains cannot carry the load.
	capacity string
}

// list is a flag that may be repeated.
type list []string

func (l *list) String() string { return strings.Join(*l, ",") }

func (l *list) Set(value string) error {
	*l = append(*l, value)
	return nil
}

func (c *call) addJSONFlag() {
	c.flags.BoolVar(&c.options.json, "json", false, "write JSON for scripts")
}

// addConnectionFlags adds the flags of subcommands that speak to control replicas.
func (c *call) addConnectionFlags() {
	o := &c.options
	c.addJSONFlag()
	c.flags.StringVar(&o.client, "client", "", "client `file` with control replicas and TLS files")
	c.flags.Var(&o.control, "control", "`address` of a control replica, IP:PORT; may be repeated; replaces those of the client file")
	c.flags.StringVar(&o.tls.Certificate, "cert", "", "PEM `file` with the operator's certificate")
	c.flags.StringVar(&o.tls.Key, "cert-key", "", "PEM `file` with the key of the certificate")
	c.flags.StringVar(&o.tls.Authority, "ca", "", "PEM `file` with the setup's authority")
	c.flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "limit for the whole command")
}

// addChangeFlags adds the flags of subcommands that send a change.
func (c *call) addChangeFlags() {
	o := &c.options
	c.addConnectionFlags()
	c.flags.Var(&o.keys, "key", "signing key `file`; may be repeated")
	c.flags.StringVar(&o.id, "id", "", "`UUID` of the change; give the same one to send a change again (default: a new one)")
	c.flags.StringVar(&o.comment, "comment", "", "`text` for the history")
	c.flags.BoolVar(&o.wait, "wait", false, "wait until the change is in force at every gateway")
}

// loadClient merges the client file and the flags; flags win.
func (c *call) loadClient() error {
	o := &c.options
	if o.timeout <= 0 {
		return c.usage("expected -timeout above 0")
	}
	if o.client != "" {
		text, err := readFile(o.client, maxClientFile)
		if err != nil {
			return c.usage(err.Error())
		}
		d := yaml.NewDecoder(bytes.NewReader(text))
		d.KnownFields(true)
		if err := d.Decode(&o.file); err != nil && !errors.Is(err, io.EOF) {
			return c.usage(fmt.Sprintf("%s: %v", o.client, err))
		}
	}
	o.mergeFlags()
	return c.checkClient()
}

func (o *options) mergeFlags() {
	if len(o.control) > 0 {
		o.file.Control = nil
		for _, address := range o.control {
			o.file.Control = append(o.file.Control, settings.Replica{Address: address})
		}
	}
	for _, pair := range []struct{ flag, file *string }{
		{&o.tls.Certificate, &o.file.TLS.Certificate}, {&o.tls.Key, &o.file.TLS.Key}, {&o.tls.Authority, &o.file.TLS.Authority},
	} {
		if *pair.flag != "" {
			*pair.file = *pair.flag
		}
	}
	if len(o.keys) == 0 {
		o.keys = o.file.Keys
	}
}

func (c *call) checkClient() error {
	file := c.options.file
	if len(file.Control) == 0 {
		return c.usage("expected control replicas in -client or -control")
	}
	for _, peer := range file.Control {
		if _, err := netip.ParseAddrPort(peer.Address); err != nil {
			return c.usage(fmt.Sprintf("control replica %q: expected IP:PORT", peer.Address))
		}
	}
	if file.TLS.Certificate == "" || file.TLS.Key == "" || file.TLS.Authority == "" {
		return c.usage("expected TLS files in -client, or -cert, -cert-key and -ca")
	}
	return nil
}

// loadKeys reads the signing keys.
func (c *call) loadKeys() ([]*document.PrivateKey, error) {
	if len(c.options.keys) == 0 {
		return nil, c.usage("expected a signing key in -key or in the client file")
	}
	var keys []*document.PrivateKey
	for _, file := range c.options.keys {
		key, err := readKey(file)
		if err != nil {
			return nil, c.usage(err.Error())
		}
		same := func(k *document.PrivateKey) bool { return k.Signer == key.Signer && k.ID == key.ID }
		if slices.ContainsFunc(keys, same) {
			return nil, c.usage("expected each key once, got " + file + " again")
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func readKey(file string) (*document.PrivateKey, error) {
	text, err := readFile(file, maxKeyFile)
	if err != nil {
		return nil, err
	}
	key, problems := document.ParseKeyFile(file, text)
	if len(problems) > 0 {
		return nil, problems
	}
	return key, nil
}

// readFile reads at most one byte more than limit, so that the caller can refuse what is too large.
func readFile(file string, limit int64) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return text, nil
}
