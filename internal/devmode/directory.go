package devmode

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"

	"pollenlead/internal/config"
)

// The files that the stand-ins write for separate processes. Each entry instance also has a settings file, named after
// the instance.
const (
	addressesFile = "addresses.json"
	documentFile  = "document.yaml"
	operatorKey   = "operator.key"
	teamKeyPrefix = "team-"
	teamKeySuffix = ".key"

	filePermissions = 0o600
)

// The range of the ports of entry instances in separate processes. It ends below the usual range of ephemeral ports
// (32768 and above), so that no outgoing connection takes the port of an instance while the instance is down.
const (
	firstEntryPort = 20000
	lastEntryPort  = 31999
)

// directoryTeam holds the properties of a team that its callers need.
type directoryTeam struct {
	Name      string `json:"name"`
	Weight    int    `json:"weight"`
	MayUrgent bool   `json:"may_urgent"`
}

// addresses holds the addresses of all stand-ins and entry instances of a directory, and the services and teams.
type addresses struct {
	LogURL          string            `json:"log_url"`
	ListURL         string            `json:"list_url"`
	ObservationsURL string            `json:"verdict_url"`
	Entries         []target          `json:"entry_instances"`
	Workers         map[string]string `json:"worker_urls"`
	Services        []string          `json:"services"`
	Teams           []directoryTeam   `json:"teams"`
}

func readAddresses(directory string) (addresses, error) {
	var a addresses
	text, err := os.ReadFile(filepath.Join(directory, addressesFile))
	if err != nil {
		return a, fmt.Errorf("read the addresses: %w", err)
	}
	if err := json.Unmarshal(text, &a); err != nil {
		return a, fmt.Errorf("read the addresses: %w", err)
	}
	return a, nil
}

// writeDirectory writes the files that entry instances, operators and callers need. It writes the addresses last, so a
// reader that finds them also finds the other files.
func writeDirectory(directory string, a addresses, document *config.Document, keys demoKeys) error {
	files := map[string][]byte{operatorKey: []byte(keys.operator + "\n")}
	for team, key := range keys.teams {
		files[teamKeyPrefix+team+teamKeySuffix] = []byte(key + "\n")
	}
	text, err := render(document)
	if err != nil {
		return err
	}
	files[documentFile] = text
	for _, e := range a.Entries {
		if files[e.Name+".yaml"], err = renderSettings(e, a, keys.operator); err != nil {
			return err
		}
	}
	for name, data := range files {
		if err := writeFile(directory, name, data); err != nil {
			return err
		}
	}
	index, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the addresses: %w", err)
	}
	return writeFile(directory, addressesFile, append(index, '\n'))
}

// writeFile replaces a file atomically, so that no reader sees a partial file.
func writeFile(directory, name string, data []byte) error {
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path+".new", data, filePermissions); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

func renderSettings(e target, a addresses, bootstrap string) ([]byte, error) {
	type fields = map[string]any
	text, err := yaml.Marshal(fields{
		"name": e.Name, "region": region, "availability_zone": e.AvailabilityZone, "log_level": "info",
		"listen": fields{
			"callers": strings.TrimPrefix(e.CallersURL, "http://"), "operators": strings.TrimPrefix(e.OperatorsURL, "http://"),
			"peers": "127.0.0.1:0",
		},
		"platform":           fields{"log_url": a.LogURL, "list_url": a.ListURL},
		"bootstrap_operator": fields{"name": "demo", "sha256": config.HashKey(bootstrap)},
		"timeouts":           fields{"shutdown_seconds": shutdownSeconds},
	})
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", e.Name, err)
	}
	return text, nil
}

// chooseEntries returns n entry instances with generated names and free ports.
func chooseEntries(n int) ([]target, error) {
	ports, err := freePorts(2 * n)
	if err != nil {
		return nil, err
	}
	entries := make([]target, n)
	for i := range entries {
		entries[i] = target{
			Name: fmt.Sprintf("entry-%d", i+1), AvailabilityZone: zones[i%len(zones)],
			CallersURL:   fmt.Sprintf("http://127.0.0.1:%d", ports[2*i]),
			OperatorsURL: fmt.Sprintf("http://127.0.0.1:%d", ports[2*i+1]),
		}
	}
	return entries, nil
}

var errNoPorts = errors.New("too few free ports for the entry instances")

// freePorts returns n different ports that are currently free.
func freePorts(n int) ([]int, error) {
	var ports []int
	for _, offset := range rand.Perm(lastEntryPort - firstEntryPort + 1) {
		if len(ports) == n {
			return ports, nil
		}
		port := firstEntryPort + offset
		socket, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		if err := socket.Close(); err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return nil, fmt.Errorf(
		"%w: found %d of %d in the range %d to %d", errNoPorts, len(ports), n, firstEntryPort, lastEntryPort,
	)
}

// readKeys reads the keys of the operator and of the teams from the directory.
func readKeys(directory string, teams []directoryTeam) (demoKeys, error) {
	keys := demoKeys{teams: map[string]string{}}
	var err error
	if keys.operator, err = readKey(directory, operatorKey); err != nil {
		return keys, err
	}
	for _, t := range teams {
		if keys.teams[t.Name], err = readKey(directory, teamKeyPrefix+t.Name+teamKeySuffix); err != nil {
			return keys, err
		}
	}
	return keys, nil
}

func readKey(directory, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(directory, name))
	if err != nil {
		return "", fmt.Errorf("read the key in %s: %w", name, err)
	}
	return strings.TrimSpace(string(text)), nil
}
