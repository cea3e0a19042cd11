// Package localsetup writes the settings, certificates and operator client file of a setup on loopback.
package localsetup

import (
	"fmt"
	"os"
	"path/filepath"

	"go.yaml.in/yaml/v3"

	"heatherwall.example/settings"
	"heatherwall.example/testbed/devcerts"
)

// OperatorName is the common name of the operator's certificate.
const OperatorName = "operator"

const (
	portsOfControl = 2
	portsOfGateway = 4
	textMode       = 0o644
	folderMode     = 0o755
)

// Place is where an instance runs.
type Place struct {
	Region        string
	FailureDomain string
}

// Options describe a setup.
type Options struct {
	// Folder receives all files. It becomes absolute in the settings.
	Folder string
	// FirstPort is the first of the consecutive loopback ports of the setup.
	FirstPort int
	Controls  int
	Gateways  int
	// ControlPlaces and GatewayPlaces are used in turn.
	ControlPlaces []Place
	GatewayPlaces []Place
	// LogLevel is written to every settings file; empty for the default.
	LogLevel string
	// DrainSeconds of the gateways; 0 for the default.
	DrainSeconds int
	// AdvertiseOffset is added to the port of every peer listener to give the advertised address, where a relay
	// listens; 0 for none.
	AdvertiseOffset int
}

// Instance is one process of the setup.
type Instance struct {
	Name         string `json:"name"`
	SettingsFile string `json:"settings_file"`
	Place        `json:"place"`
	// Addresses are empty where the role has no such listener.
	Callers  string `json:"callers,omitempty"`
	Announce string `json:"announce,omitempty"`
	Peer     string `json:"peer"`
	// Advertised is where others reach the peer listener.
	Advertised string `json:"advertised"`
	Admin      string `json:"admin"`
	DataFolder string `json:"data_folder,omitempty"`
}

// Setup is what Write made.
type Setup struct {
	Controls []Instance `json:"controls"`
	Gateways []Instance `json:"gateways"`
	// ClientFile is for the operators' client.
	ClientFile string `json:"client_file"`
	// NextPort is the first port that the setup leaves free.
	NextPort int `json:"next_port"`
}

// OptionsError reports options from which no setup can be made.
type OptionsError struct {
	Field    string
	Expected string
}

func (e *OptionsError) Error() string { return e.Field + ": expected " + e.Expected }

// WriteError reports a file that could not be written.
type WriteError struct {
	File  string
	Cause error
}

func (e *WriteError) Error() string { return fmt.Sprintf("write %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// Write writes all files of the setup.
func Write(o Options) (*Setup, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	folder, err := filepath.Abs(o.Folder)
	if err != nil {
		return nil, &WriteError{File: o.Folder, Cause: err}
	}
	o.Folder = folder
	s := o.plan()
	if err := devcerts.Write(o.certificates(), s.names()); err != nil {
		return nil, err
	}
	return s, o.writeFiles(s)
}

func (o Options) check() error {
	switch {
	case o.Controls < 1:
		return &OptionsError{Field: "controls", Expected: "at least 1"}
	case len(o.ControlPlaces) == 0 || (o.Gateways > 0 && len(o.GatewayPlaces) == 0):
		return &OptionsError{Field: "places", Expected: "at least one region/failure-domain"}
	case o.FirstPort <= 0:
		return &OptionsError{Field: "first port", Expected: "a positive number"}
	}
	return nil
}

func (o Options) certificates() string { return filepath.Join(o.Folder, "certificates") }

// plan gives every instance its name, place and ports.
func (o Options) plan() *Setup {
	s := &Setup{ClientFile: filepath.Join(o.Folder, "client.yaml"), NextPort: o.FirstPort}
	for i := range o.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		port := s.take(portsOfControl)
		s.Controls = append(s.Controls, Instance{
			Name: name, Place: o.ControlPlaces[i%len(o.ControlPlaces)],
			SettingsFile: filepath.Join(o.Folder, name+".yaml"),
			DataFolder:   filepath.Join(o.Folder, name+".data"),
			Peer:         address(port), Admin: address(port + 1),
			Advertised: address(port + o.AdvertiseOffset),
		})
	}
	for i := range o.Gateways {
		name := fmt.Sprintf("gateway-%d", i+1)
		port := s.take(portsOfGateway)
		s.Gateways = append(s.Gateways, Instance{
			Name: name, Place: o.GatewayPlaces[i%len(o.GatewayPlaces)],
			SettingsFile: filepath.Join(o.Folder, name+".yaml"),
			Callers:      address(port), Announce: address(port + 1),
			Peer: address(port + 2), Admin: address(port + 3),
			Advertised: address(port + 2 + o.AdvertiseOffset),
		})
	}
	return s
}

func (s *Setup) take(ports int) int {
	first := s.NextPort
	s.NextPort += ports
	return first
}

func (s *Setup) names() []string {
	names := []string{OperatorName}
	for _, i := range append(append([]Instance{}, s.Controls...), s.Gateways...) {
		names = append(names, i.Name)
	}
	return names
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (o Options) writeFiles(s *Setup) error {
	for _, i := range s.Controls {
		if err := WriteYAML(i.SettingsFile, o.ControlSettings(s, i)); err != nil {
			return err
		}
	}
	for _, i := range s.Gateways {
		if err := WriteYAML(i.SettingsFile, o.GatewaySettings(s, i)); err != nil {
			return err
		}
	}
	return WriteYAML(s.ClientFile, o.client(s))
}

// ControlSettings returns the settings of a control replica.
func (o Options) ControlSettings(s *Setup, i Instance) settings.Control {
	return settings.Control{
		Instance:   o.instance(i),
		Peer:       settings.Listener{Address: i.Peer, Advertise: i.Advertised, TLS: o.tls(i.Name)},
		Admin:      settings.Listener{Address: i.Admin},
		DataFolder: i.DataFolder,
		Peers:      s.ControlReplicas(),
	}
}

// GatewaySettings returns the settings of a gateway. Control replicas of its own region come first.
func (o Options) GatewaySettings(s *Setup, i Instance) settings.Gateway {
	var near, far []settings.Replica
	for _, p := range s.ControlReplicas() {
		if p.Region == i.Region {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return settings.Gateway{
		Instance:     o.instance(i),
		Callers:      settings.Listener{Address: i.Callers},
		Announce:     settings.Listener{Address: i.Announce},
		Peer:         settings.Listener{Address: i.Peer, Advertise: i.Advertised, TLS: o.tls(i.Name)},
		Admin:        settings.Listener{Address: i.Admin},
		Control:      append(near, far...),
		DrainSeconds: o.DrainSeconds,
	}
}

func (o Options) instance(i Instance) settings.Instance {
	return settings.Instance{Name: i.Name, Region: i.Region, FailureDomain: i.FailureDomain, LogLevel: o.LogLevel}
}

func (o Options) tls(name string) *settings.TLS {
	base := filepath.Join(o.certificates(), name)
	return &settings.TLS{
		Certificate: base + ".pem",
		Key:         base + ".key",
		Authority:   filepath.Join(o.certificates(), devcerts.AuthorityName+".pem"),
	}
}

// ControlReplicas lists the control replicas as settings name them.
func (s *Setup) ControlReplicas() []settings.Replica {
	peers := make([]settings.Replica, len(s.Controls))
	for i, c := range s.Controls {
		peers[i] = settings.Replica{Name: c.Name, Address: c.Advertised, Region: c.Region, FailureDomain: c.FailureDomain}
	}
	return peers
}

// clientFile is the file that the operators' client reads.
type clientFile struct {
	TLS     *settings.TLS      `yaml:"tls"`
	Control []settings.Replica `yaml:"control"`
}

func (o Options) client(s *Setup) clientFile {
	return clientFile{TLS: o.tls(OperatorName), Control: s.ControlReplicas()}
}

// WriteYAML writes value to the file and makes its folder.
func WriteYAML(file string, value any) error {
	text, err := yaml.Marshal(value)
	if err != nil {
		return &WriteError{File: file, Cause: err}
	}
	if err := os.MkdirAll(filepath.Dir(file), folderMode); err != nil {
		return &WriteError{File: file, Cause: err}
	}
	if err := os.WriteFile(file, text, textMode); err != nil {
		return &WriteError{File: file, Cause: err}
	}
	return nil
}
