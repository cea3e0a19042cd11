// Package localsetup writes the settings files, the certificates and the settings file of the operators' client for a
// setup on loopback.
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
	portsPerControl = 2
	portsPerGateway = 4
	textMode        = 0o644
	folderMode      = 0o755
)

// Place is the region and failure domain in which an instance runs.
type Place struct {
	Region        string
	FailureDomain string
}

// Options describes a setup.
type Options struct {
	// Folder is the folder for all files. The settings contain it as an absolute path.
	Folder string
	// FirstPort is the first of the consecutive loopback ports that the setup uses.
	FirstPort int
	Controls  int
	Gateways  int
	// ControlPlaces and GatewayPlaces are assigned to the instances in turn.
	ControlPlaces []Place
	GatewayPlaces []Place
	// LogLevel is written to every settings file. If it is empty, the default applies.
	LogLevel string
	// DrainSeconds is the drain time of the gateways. If it is 0, the default applies.
	DrainSeconds int
	// AdvertiseOffset is added to the port of every peer listener to get the port of its advertised address, on which a
	// relay listens. It is 0 if there are no relays.
	AdvertiseOffset int
}

// Instance is one process of the setup.
type Instance struct {
	Name         string `json:"name"`
	SettingsFile string `json:"settings_file"`
	Place        `json:"place"`
	// An address is empty if the role of the instance has no such listener.
	Callers  string `json:"callers,omitempty"`
	Announce string `json:"announce,omitempty"`
	Peer     string `json:"peer"`
	// Advertised is the address at which other instances reach the peer listener.
	Advertised string `json:"advertised"`
	Admin      string `json:"admin"`
	DataFolder string `json:"data_folder,omitempty"`
}

// Setup describes the instances and files of a setup.
type Setup struct {
	Controls []Instance `json:"controls"`
	Gateways []Instance `json:"gateways"`
	// ClientFile is the name of the settings file of the operators' client.
	ClientFile string `json:"client_file"`
	// NextPort is the first port after those of the setup.
	NextPort int `json:"next_port"`
}

// OptionsError reports an invalid option.
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

// Write creates the certificates and writes all settings files of a setup.
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
	if err := devcerts.Write(o.certificateFolder(), s.certificateNames()); err != nil {
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

func (o Options) certificateFolder() string { return filepath.Join(o.Folder, "certificates") }

// plan assigns a name, a place and ports to every instance.
func (o Options) plan() *Setup {
	s := &Setup{ClientFile: filepath.Join(o.Folder, "client.yaml"), NextPort: o.FirstPort}
	for i := range o.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		port := s.allocatePorts(portsPerControl)
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
		port := s.allocatePorts(portsPerGateway)
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

func (s *Setup) allocatePorts(ports int) int {
	first := s.NextPort
	s.NextPort += ports
	return first
}

func (s *Setup) certificateNames() []string {
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
	return WriteYAML(s.ClientFile, o.clientSettings(s))
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

// GatewaySettings returns the settings of a gateway. They list the control replicas of its own region first.
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
	base := filepath.Join(o.certificateFolder(), name)
	return &settings.TLS{
		Certificate: base + ".pem",
		Key:         base + ".key",
		Authority:   filepath.Join(o.certificateFolder(), devcerts.AuthorityName+".pem"),
	}
}

// ControlReplicas returns the control replicas in the form of the settings.
func (s *Setup) ControlReplicas() []settings.Replica {
	peers := make([]settings.Replica, len(s.Controls))
	for i, c := range s.Controls {
		peers[i] = settings.Replica{Name: c.Name, Address: c.Advertised, Region: c.Region, FailureDomain: c.FailureDomain}
	}
	return peers
}

// clientSettings is the content of the settings file of the operators' client.
type clientSettings struct {
	TLS     *settings.TLS      `yaml:"tls"`
	Control []settings.Replica `yaml:"control"`
}

func (o Options) clientSettings(s *Setup) clientSettings {
	return clientSettings{TLS: o.tls(OperatorName), Control: s.ControlReplicas()}
}

// WriteYAML writes value as YAML to a file. It creates the folder of the file if needed.
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
