package wal

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
)

// Names of files in a data folder: identityName holds the identity, lockName is locked by the process that uses the folder.
const (
	identityName = "identity"
	lockName     = "lock"
)

// Fields of the protobuf message in the identity file.
const (
	fieldID      protowire.Number = 1
	fieldCluster protowire.Number = 2
	fieldName    protowire.Number = 3
)

// Identity identifies a replica. It is created together with the data folder and is lost with it.
type Identity struct {
	// ID is the randomly chosen replica ID. It is never 0.
	ID uint64
	// ClusterID identifies the cluster that the replica belongs to. It never changes.
	ClusterID uint64
	// Name is the name of the instance.
	Name string
}

// CreateIdentity creates an identity in a new data folder, which must be missing or empty. It fails with
// *IdentityExistsError if the folder already holds an identity, and with *CorruptError if it holds anything else.
func CreateIdentity(dir, name string, clusterID uint64) (Identity, error) {
	return CreateIdentityWith(OS{}, dir, name, clusterID)
}

// CreateIdentityAs is like CreateIdentity but uses the given replica ID, which no other folder may have had.
func CreateIdentityAs(dir, name string, id, clusterID uint64) (Identity, error) {
	return createIdentity(OS{}, dir, Identity{ID: id, ClusterID: clusterID, Name: name})
}

// CreateIdentityWith is like CreateIdentity but uses the given file system.
func CreateIdentityWith(fs FileSystem, dir, name string, clusterID uint64) (Identity, error) {
	return createIdentity(fs, dir, Identity{ID: randomID(), ClusterID: clusterID, Name: name})
}

func createIdentity(fs FileSystem, dir string, identity Identity) (Identity, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return Identity{}, &IOError{Operation: "create folder", Cause: err}
	}
	names, err := listDataFolder(fs, dir)
	if err != nil {
		return Identity{}, err
	}
	if slices.Contains(names, identityName) {
		return Identity{}, &IdentityExistsError{Dir: dir}
	}
	if len(names) > 0 {
		return Identity{}, &CorruptError{File: dir, Detail: "the folder is not empty but holds no identity"}
	}
	return identity, writeFileAtomically(fs, dir, identityName, identity.encode())
}

// listDataFolder returns the names of the files in a data folder, except the lock file and the temporary file of an
// interrupted write of the identity.
func listDataFolder(fs FileSystem, dir string) ([]string, error) {
	names, err := fs.ReadDir(dir)
	if err != nil {
		return nil, &IOError{Operation: "read folder", Cause: err}
	}
	return slices.DeleteFunc(names, func(name string) bool {
		return name == identityName+temporarySuffix || name == lockName
	}), nil
}

// randomID returns a random number other than 0.
func randomID() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:]) // never fails
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// LoadIdentity reads the identity from a data folder. It fails with *NoIdentityError if the folder is missing or empty, and
// with *CorruptError if the identity is corrupt, or is missing while the folder holds other files.
func LoadIdentity(dir string) (Identity, error) { return LoadIdentityWith(OS{}, dir) }

// LoadIdentityWith is like LoadIdentity but uses the given file system.
func LoadIdentityWith(fs FileSystem, dir string) (Identity, error) {
	content, err := fs.ReadFile(filepath.Join(dir, identityName))
	if err == nil {
		return decodeIdentity(content)
	}
	if !os.IsNotExist(err) {
		return Identity{}, &IOError{Operation: "read identity", Cause: err}
	}
	names, err := listDataFolder(fs, dir)
	if errors.Is(err, os.ErrNotExist) {
		return Identity{}, &NoIdentityError{Dir: dir}
	}
	if err != nil {
		return Identity{}, err
	}
	if len(names) > 0 {
		return Identity{}, &CorruptError{File: dir, Detail: "the folder is not empty but holds no identity"}
	}
	return Identity{}, &NoIdentityError{Dir: dir}
}

func (i Identity) encode() []byte {
	var out []byte
	out = protowire.AppendTag(out, fieldID, protowire.Fixed64Type)
	out = protowire.AppendFixed64(out, i.ID)
	out = protowire.AppendTag(out, fieldCluster, protowire.Fixed64Type)
	out = protowire.AppendFixed64(out, i.ClusterID)
	out = protowire.AppendTag(out, fieldName, protowire.BytesType)
	out = protowire.AppendString(out, i.Name)
	return appendFrame(nil, 0, out)
}

func decodeIdentity(content []byte) (Identity, error) {
	var i Identity
	f, state := readFrame(content, 0)
	if state != frameValid || f.size != len(content) {
		return i, &CorruptError{File: identityName, Detail: "the checksum or the length is wrong"}
	}
	for payload := f.payload; len(payload) > 0; {
		field, kind, n := protowire.ConsumeTag(payload)
		if n < 0 {
			return i, &CorruptError{File: identityName, Detail: "content cannot be decoded"}
		}
		payload = payload[n:]
		n = protowire.ConsumeFieldValue(field, kind, payload)
		if n < 0 {
			return i, &CorruptError{File: identityName, Detail: "content cannot be decoded"}
		}
		i.decodeField(field, payload[:n])
		payload = payload[n:]
	}
	if i.ID == 0 {
		return i, &CorruptError{File: identityName, Detail: "the replica ID is missing"}
	}
	return i, nil
}

func (i *Identity) decodeField(field protowire.Number, value []byte) {
	switch field {
	case fieldID:
		i.ID, _ = protowire.ConsumeFixed64(value)
	case fieldCluster:
		i.ClusterID, _ = protowire.ConsumeFixed64(value)
	case fieldName:
		i.Name, _ = protowire.ConsumeString(value)
	}
}
