package sheet

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"sapphiretray/code"
	"sapphiretray/document"

	"pgregory.net/rapid"
)

const header = "kind,service,name,data_centre,value,reason\n"

// example returns the content of the example in the documentation.
func example(tb testing.TB) string {
	tb.Helper()
	content, err := os.ReadFile("../docs/examples/sheet.csv")
	if err != nil {
		tb.Fatal(err)
	}
	return string(content)
}

// TestExample guards against an example that the parser refuses, and rules that are looked up for the wrong key.
func TestExample(t *testing.T) {
	s, err := Parse([]byte("\xef\xbb\xbf" + strings.ReplaceAll(example(t), "\n", "\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	partitions, _ := s.Partitions("bookings")
	capacity, _ := s.Capacity("north-2")
	slot, _ := s.PinTarget("bookings", "club/velo-norte")
	_, centre := s.PinTarget("bookings", "club/ciclo-sur")
	allowed, _ := s.Allowed("documents", "private/7")
	_, restricted := s.Allowed("bookings", "private/7")
	weight, _ := s.Weight("bookings", Churn)
	budget, _ := s.Budget("bookings")
	got := fmt.Sprint(partitions, capacity, []string{slot, centre}, allowed, restricted, weight, budget,
		s.Services(), len(s.Of(Place, "documents")))
	if want := "1024 0.5 [north-1 central] [central] false 3 30 [bookings documents] 2"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestValidationErrors guards against a faulty sheet that is accepted in part, an error that hides others, and a wrong position.
func TestValidationErrors(t *testing.T) {
	services := header + "service,a,,,4,\nplace,a,n-1,n,1,\n"
	for _, test := range []struct{ name, content, want string }{
		{"empty", "", "1:1: the sheet is empty"},
		{"columns", "kind,service,name,value,data_centre,reason\n", "1:1: wrong columns"},
		{"unknown service", services + "budget,b,,,1,\n", `4:8: unknown service "b"`},
		{"two places", services + "place,a,n-1,n,2,\n", "4:9: duplicate rule: line 3"},
		{"two pins", services + "pin,a,k,,n,\npin,a,k,,n-1,\n", "5:7: duplicate rule: line 4"},
		{
			"pin not allowed", services + "place,a,s-1,s,1,\nallow,a,k,s,,\npin,a,key,,n-1,\n",
			"6:12: the pin conflicts with an allow rule: the key is allowed only in s",
		},
		{"pin to an unknown target", services + "pin,a,k,,x-1,\n", `4:10: "x-1" is neither a slot nor a data centre`},
		{"pin to another service", services + "service,b,,,4,\npin,b,k,,n-1,\n", "5:10: slot n-1 belongs to service a"},
		{"negative", services + "place,a,n-2,n,-1,\n", "4:15: capacity -1 is below 0"},
		{"not a number", services + "place,a,n-2,n,one,\n", `4:15: capacity "one" isn't a number`},
		{"not finite", services + "place,a,n-2,n,NaN,\n", `4:15: capacity "NaN" isn't a number`},
		{"not a power of two", header + "service,a,,,3,\n", `2:13: "3" partitions`},
		{"kind", services + "plaice,a,n-2,n,1,\n", `4:1: "plaice": want service`},
		{"metric", services + "weight,a,churm,,1,\n", `4:10: "churm": want churn`},
		{"unused column", services + "budget,a,x,,1,\n", "4:10: a rule of kind budget has no name"},
		{"control character", services + "pin,a,\"k\n\",,n,\n", "4:7: want a key"},
		{"truncated in a row", services + "place,a,n-2,n", "4:14: the sheet is truncated"},
		{"truncated in a quoted field", services + "place,a,n-2,n,1,\"the\n", "a quoted field that starts in line 4 has no end"},
		{"fewer fields", services + "place,a,n-2\nbudget,b,,,1,\n", `4:1: 3 fields, want 6; 5:8: unknown service "b"`},
		{"encoding", services + "place,a,n-2,n,1,caf\xe9\n", "4:20: the sheet isn't UTF-8"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, err := Parse([]byte(test.content))
			var errs document.ValidationErrors
			if !errors.As(err, &errs) || !strings.Contains(errs.Error(), test.want) || len(s.Rules()) > 0 {
				t.Errorf("got %v, want %s", err, test.want)
			}
			if number, _ := code.Of(err); number != code.BadSheet {
				t.Errorf("got code %d, want %d", number, code.BadSheet)
			}
		})
	}
}

// TestRows guards against a sheet whose size exhausts memory, and last rows that are dropped silently.
func TestRows(t *testing.T) {
	var b strings.Builder
	b.WriteString(header + "service,a,,,4,\n")
	for n := range MaxRows - 1 {
		fmt.Fprintf(&b, "place,a,n-%d,n,1,\n", n)
	}
	if s, err := Parse([]byte(b.String())); err != nil || len(s.Rules()) != MaxRows {
		t.Fatalf("got %d rules, %v", len(s.Rules()), err)
	}
	b.WriteString("place,a,m,n,1,\n")
	if _, err := Parse([]byte(b.String())); err == nil || !strings.Contains(err.Error(), "100002:1: the sheet has more than 100000 rows") {
		t.Errorf("got %v", err)
	}
}

// TestPlan guards against changes that are missing from the plan, and changes without a reason.
func TestPlan(t *testing.T) {
	older, err := Parse([]byte(example(t)))
	if err != nil {
		t.Fatal(err)
	}
	newer, err := Parse([]byte(strings.NewReplacer(
		"north-2,north,0.5,smaller machine", "north-2,central,0,drained",
		"budget,bookings,,,30,\n", "",
		"disk is replaced at 10:00", "disk is replaced at 11:00",
		"weight,bookings,imbalance", "weight,documents,imbalance",
	).Replace(example(t))))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"remove budget bookings: 30 (the configuration sets the budget; the new sheet has no such rule)",
		"modify place bookings north-2 central: data_centre north -> central, value 0.5 -> 0 " +
			"(its keys move to other places; reason in the sheet: drained)",
		"remove weight bookings imbalance: 1 (the configuration sets the weight; the new sheet has no such rule)",
		"add weight documents imbalance: 1 (later plans weigh the metric by this; the sheet gives no reason)",
	}
	if got := Lines(Plan(older, newer)); !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if got := Plan(older, older); len(got) > 0 {
		t.Errorf("no change: got %v", got)
	}
}

// TestRoundTrip guards against a rule that changes when a sheet is encoded and parsed again, and a plan whose changes don't turn
// one sheet into the other.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older, newer := drawSheet(t, "older"), drawSheet(t, "newer")
		again, err := Parse(older.Encode())
		if err != nil || !slices.Equal(again.rules, older.rules) {
			t.Fatalf("%s: %v", older.Encode(), err)
		}
		rules := make(map[identity]Rule)
		for _, r := range older.rules {
			rules[r.identity()] = r
		}
		for _, c := range Plan(older, newer) {
			delete(rules, c.Older().identity())
			if c.Action() != Remove {
				rules[c.Newer().identity()] = c.Newer()
			}
		}
		if len(rules) != len(newer.index) {
			t.Fatalf("the plan results in %d rules, want %d", len(rules), len(newer.index))
		}
		for id, r := range newer.index {
			if got := rules[id]; got.value != r.value || got.dataCentre != r.dataCentre || got.service != r.service {
				t.Fatalf("the plan results in %v, want %v", got, r)
			}
		}
	})
}

// drawSheet generates a valid sheet with pins and places.
func drawSheet(t *rapid.T, label string) Sheet {
	text := rapid.StringOfN(rapid.RuneFrom([]rune(`ab ,"'é;#/`)), 1, 6, -1)
	rules := []Rule{
		{kind: Service, service: "a", value: "4"},
		{kind: Service, service: "b", value: rapid.SampledFrom([]string{"1", "2"}).Draw(t, label)},
		{kind: Place, service: "a", name: "n-1", dataCentre: "n", value: "1"},
	}
	for key, reason := range rapid.MapOfN(text, text, 0, 8).Draw(t, label) {
		rules = append(rules, Rule{kind: Pin, service: "a", name: key, value: "n", reason: reason})
	}
	for slot, value := range rapid.MapOfN(rapid.StringMatching(`[c-f]{2}`), rapid.IntRange(0, 9), 0, 5).Draw(t, label) {
		service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, label)
		rules = append(rules, Rule{kind: Place, service: service, name: slot, dataCentre: "n", value: fmt.Sprint(value)})
	}
	return newSheet(rules)
}

// FuzzParse guards against input that makes the parser panic, or that it accepts but that changes when it is encoded and parsed
// again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte(header + "service,a,,,4,\nplace,a,n-1,n,1,\"x\"\"\"\n"))
	f.Add([]byte("\xef\xbb\xbf" + header + "\"a\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := Parse(content)
		if err != nil {
			var errs document.ValidationErrors
			if !errors.As(err, &errs) || errs[0].Line() < 1 || errs[0].Column() < 1 {
				t.Fatalf("%v has no position", err)
			}
			return
		}
		again, err := Parse(s.Encode())
		if err != nil || !slices.Equal(again.rules, s.rules) {
			t.Errorf("%q: %v", content, err)
		}
	})
}
