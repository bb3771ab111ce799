package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/document"
)

const example = "../docs/examples/settings.yaml"

// TestExample guards against an example that the parser refuses, or that states other defaults than the code.
func TestExample(t *testing.T) {
	s, err := Load(example)
	if err != nil {
		t.Fatal(err)
	}
	if s.Slot() != "north-1" || s.CallerAddress().String() != "127.0.0.1:8001" || s.UpstreamURL().Host != "127.0.0.1:9101" {
		t.Errorf("got %+v", s)
	}
	minimal, err := Parse([]byte(withoutDefaults(t)))
	if err != nil {
		t.Fatal(err)
	}
	if minimal.file != s.file {
		t.Errorf("defaults: got %+v, the example has %+v", minimal.file, s.file)
	}
	if s.LeaseDuration() != 600*time.Millisecond || s.HeartbeatInterval() != 200*time.Millisecond || s.ClockDrift() != 0.01 {
		t.Errorf("lease timing: got %s, %s and %g, want 600ms, 200ms and 0.01", s.LeaseDuration(), s.HeartbeatInterval(), s.ClockDrift())
	}
}

// withoutDefaults returns the example without the lines whose comment states the default of a number or duration.
func withoutDefaults(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	var kept []string
	for line := range strings.Lines(string(content)) {
		if !strings.Contains(line, "default") || strings.Contains(line, "checks_grants") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "")
}

// TestValidationErrors guards against a parser that stops at the first error or reports a wrong position.
func TestValidationErrors(t *testing.T) {
	content, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ name, old, replacement, want string }{
		{"syntax", "region: home", "region: [", "3:9: "},
		{"type", "capacity: 1 ", "capacity: many ", "6:11: capacity: want a number"},
		{"range", "capacity: 1 ", "capacity: -1 ", "6:11: capacity: want a number above 0"},
		{"not finite", "capacity: 1 ", "capacity: .inf ", "6:11: capacity: want a number"},
		{"unknown", "region: home", "regoin: home", "3:1: regoin: unknown field; 2:1: region"},
		{"twice", "region: home", "region: home\nregion: home", "4:1: region: the field is given twice"},
		{"host name", "callers: 127.0.0.1:8001 ", "callers: localhost:8001 ", "9:12: listen.callers: "},
		{"shared", "peers: 127.0.0.1:8002 ", "peers: 127.0.0.1:8001 ", "10:10: listen.peers: 127.0.0.1:8001 is also listen.callers"},
		{"wildcard", "peers: 127.0.0.1:8002 ", "peers: 0.0.0.0:8002 ", "advertise.peers: 0.0.0.0:8002 can't be reached"},
		{"url", "table: http://127.0.0.1:9000", "table: 127.0.0.1:9000", "platform.table: "},
		{"duration", "hold: 2s ", "hold: 2 ", "timeouts.hold: want a string"},
		{"interval", "interval: 200ms", "interval: 300ms", "lease.interval: 300ms: want at most a third"},
		{"size", "region: home", strings.Repeat("[", 1<<15), "1:1: the file is larger"},
		{"anchor", "region: home", "region: &r home", "anchors"},
		{"several", "slot: north-1 ", "slot: North 1 \nservice: [x]\nzone: 1", "service: want a string"},
	} {
		t.Run(test.name, func(t *testing.T) {
			broken := strings.Replace(string(content), test.old, test.replacement, 1)
			if broken == string(content) {
				t.Fatalf("the example lacks %q", test.old)
			}
			_, err := Parse([]byte(broken))
			if number, _ := code.Of(err); number != code.BadSettings {
				t.Fatalf("got %v, want code %s", err, code.BadSettings)
			}
			var errs document.ValidationErrors
			if !errors.As(err, &errs) {
				t.Fatalf("%v holds no list of validation errors", err)
			}
			for _, want := range strings.Split(test.want, "; ") {
				if !strings.Contains(errs.Error(), want) {
					t.Errorf("got %s, want %s", errs, want)
				}
			}
			if test.name == "several" && len(errs) < 4 {
				t.Errorf("got %d errors, want all: %s", len(errs), errs)
			}
		})
	}
}

// FuzzParse guards against panics on malformed input, and against accepting it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(""))
	f.Add([]byte("a: [b, {c: d}]\n---\n"))
	f.Add([]byte("&a *a"))
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := Parse(content); err == nil && len(content) < 100 {
			t.Errorf("accepted %q", content)
		}
	})
}
