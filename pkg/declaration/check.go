package declaration

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"net"
	"net/url"
	"strings"

	"github.com/juju/errors"
)

// FaultError holds all faults found in a document.
type FaultError struct {
	Document string   // what kind of document it is, such as "settings"
	Faults   []string // each as "PATH: FAULT", or "line N: FAULT" for one of the JSON
}

// Error lists the faults, one per line.
func (e *FaultError) Error() string {
	return fmt.Sprintf("%s: %d faults:\n  %s", e.Document, len(e.Faults), strings.Join(e.Faults, "\n  "))
}

// Is reports a FaultError as an error of kind errors.NotValid.
func (e *FaultError) Is(target error) bool {
	return target == errors.NotValid
}

// Faults collects the faults of one document.
type Faults struct {
	found []string // as in FaultError.Faults
}

// Add records a fault at path.
func (f *Faults) Add(path, format string, args ...any) {
	f.found = append(f.found, path+": "+fmt.Sprintf(format, args...))
}

// Unless records a fault at path if holds is false.
func (f *Faults) Unless(holds bool, path, format string, args ...any) {
	if !holds {
		f.Add(path, format, args...)
	}
}

// Address records a fault unless text is an IP address and a port.
func (f *Faults) Address(path, text string) {
	host, port, err := net.SplitHostPort(text)
	f.Unless(err == nil && net.ParseIP(host) != nil && port != "", path, "%q is not an IP number and port", text)
}

// URL records a fault unless text is an http or https URL with a host.
func (f *Faults) URL(path, text string) {
	u, err := url.Parse(text)
	good := err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
	f.Unless(good, path, "%q is not an http URL", text)
}

// Err returns one error that names every fault in document, or nil without any.
func (f *Faults) Err(document string) error {
	if len(f.found) == 0 {
		return nil
	}
	return &FaultError{Document: document, Faults: f.found}
}

// Check returns an error that names every fault of the set, or nil.
func (s *Set) Check() error {
	var faults Faults
	s.checkTiers(&faults)
	s.checkAccounts(&faults)
	s.checkServices(&faults)
	s.checkTargets(&faults)
	s.checkPlacements(&faults)
	return faults.Err("declarations")
}

// checkUnique records a fault for an empty name and for one that is in seen, and adds the name to seen.
func checkUnique[N ~string](faults *Faults, seen map[N]bool, path string, name N) {
	faults.Unless(name != "", path, "a name is required")
	faults.Unless(!seen[name], path, "%q is declared twice", name)
	seen[name] = true
}

// namesOf returns the set of names in a list.
func namesOf[T any, N ~string](list []T, name func(T) N) map[N]bool {
	names := make(map[N]bool, len(list))
	for _, item := range list {
		names[name(item)] = true
	}
	return names
}

func (s *Set) checkTiers(faults *Faults) {
	faults.Unless(len(s.Tiers) > 0, "tiers", "at least one is required")
	seen := make(map[string]bool)
	for i, t := range s.Tiers {
		path := fmt.Sprintf("tiers[%d]", i)
		checkUnique(faults, seen, path+".name", string(t.Name))
		faults.Unless(t.DeadlineMS > 0, path+".deadline_ms", "must be above 0")
	}
}

func (s *Set) checkAccounts(faults *Faults) {
	ranks := make(map[string]int)
	for i, t := range s.Tiers {
		ranks[string(t.Name)] = i
	}
	seen := make(map[string]bool)
	hashes := make(map[string]bool)
	for i, a := range s.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		checkUnique(faults, seen, path+".name", string(a.Name))
		highest, known := ranks[string(a.HighestTier)]
		faults.Unless(known, path+".highest_tier", "unknown tier %q", a.HighestTier)
		defaultRank, known := ranks[string(a.DefaultTier)]
		faults.Unless(known, path+".default_tier", "unknown tier %q", a.DefaultTier)
		faults.Unless(defaultRank >= highest, path+".default_tier", "is above highest_tier")
		faults.Unless(a.Weight >= 0, path+".weight", "must not be below 0")
		faults.Unless(a.Concurrency >= 0, path+".concurrency", "must not be below 0")
		for j, h := range a.KeyHashes {
			hashPath := fmt.Sprintf("%s.key_hashes[%d]", path, j)
			sum, err := hex.DecodeString(h)
			faults.Unless(err == nil && len(sum) == keySumBytes, hashPath, "is not a SHA-256 sum in hexadecimal")
			checkUnique(faults, hashes, hashPath, h)
		}
	}
}

func (s *Set) checkServices(faults *Faults) {
	seen := make(map[string]bool)
	for i, v := range s.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkUnique(faults, seen, path+".name", string(v.Name))
		known := v.Kind == ServiceModel || v.Kind == ServicePlain
		faults.Unless(known, path+".kind", "%q is neither %q nor %q", v.Kind, ServiceModel, ServicePlain)
	}
}

func (s *Set) checkTargets(faults *Faults) {
	seen := make(map[string]bool)
	for i, t := range s.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		checkUnique(faults, seen, path+".name", string(t.Name))
		faults.URL(path+".address", t.Address)
		faults.Address(path+".agent_control", t.AgentControl)
		faults.Address(path+".agent_data", t.AgentData)
		faults.Unless(t.FailureDomain != "", path+".failure_domain", "is required")
		faults.Unless(t.HardwareGeneration >= 1, path+".hardware_generation", "must be 1 or more")
		faults.Unless(t.Slots >= 1, path+".slots", "must be 1 or more")
	}
}

func (s *Set) checkPlacements(faults *Faults) {
	services := namesOf(s.Services, func(v Service) string { return string(v.Name) })
	targets := namesOf(s.Targets, func(t Target) string { return string(t.Name) })
	seen := make(map[string]bool)
	for i, p := range s.Placements {
		path := fmt.Sprintf("placements[%d]", i)
		faults.Unless(services[string(p.Service)], path+".service", "unknown service %q", p.Service)
		faults.Unless(targets[string(p.Target)], path+".target", "unknown target %q", p.Target)
		checkUnique(faults, seen, path, string(p.Service)+" on "+string(p.Target))
		switch p.Role {
		case "", "both", "prefill", "decode":
		default:
			faults.Add(path+".role", "%q is not both, prefill or decode", p.Role)
		}
	}
}

// Parse decodes and checks a declarations document. Unknown fields are rejected.
// The error is of kind errors.NotValid. It names the first fault of the JSON, or
// every fault of the declarations.
func Parse(document []byte) (Set, error) {
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	var set Set
	if err := d.Decode(&set); err != nil {
		return Set{}, &FaultError{Document: "declarations", Faults: []string{lineOf(document, d.InputOffset(), err) + err.Error()}}
	}
	if err := set.Check(); err != nil {
		return Set{}, err
	}
	return set, nil
}

// lineOf returns a prefix with the number of the line, from 1, on which decoding failed. It is the line of the offset
// that err names. If err names none, it is the line where the decoder stopped, which had then read decoded bytes.
func lineOf(document []byte, decoded int64, err error) string {
	offset := decoded
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case stderrors.As(err, &syntax):
		offset = syntax.Offset
	case stderrors.As(err, &kind):
		offset = kind.Offset
	}
	offset = min(offset, int64(len(document)))
	return fmt.Sprintf("line %d: ", 1+bytes.Count(document[:offset], []byte("\n")))
}
