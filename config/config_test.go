package config

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"sapphiretray/code"
	"sapphiretray/document"
	"sapphiretray/fake"
	"sapphiretray/table"

	"pgregory.net/rapid"
)

// example returns the example configuration of the documentation and its text.
func example(tb testing.TB) (Config, string) {
	tb.Helper()
	content, err := os.ReadFile("../docs/examples/config.json")
	if err != nil {
		tb.Fatal(err)
	}
	c, err := Parse(content)
	if err != nil {
		tb.Fatal(err)
	}
	return c, string(content)
}

// TestMatch guards against requests that reach the wrong service because a shorter prefix, a part of a path segment or another method
// matches.
func TestMatch(t *testing.T) {
	c, _ := example(t)
	for _, test := range []struct{ method, path, want string }{
		{"GET", "/bookings", "/bookings"},
		{"GET", "/bookings/7", "/bookings"},
		{"GET", "/bookingsx", ""},
		{"GET", "/bookings/search", "/bookings/search"},
		{"PUT", "/bookings/search", "/bookings"},
		{"GET", "/", ""},
	} {
		r, ok := c.Match(test.path, test.method)
		if r.Prefix() != test.want || ok != (test.want != "") {
			t.Errorf("%s %s: got %q, want %q", test.method, test.path, r.Prefix(), test.want)
		}
	}
	if n := testing.AllocsPerRun(100, func() { c.Match("/bookings/7/charge", "POST") }); n != 0 {
		t.Errorf("Match allocates %g times", n)
	}
}

// TestMatchLongest guards against a Match that misses a prefix or prefers a shorter one, for any set of prefixes.
func TestMatchLongest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.StringMatching(`(/[ab]{0,2}){1,4}`)
		var c Config
		for _, prefix := range rapid.SliceOfN(path, 0, 6).Draw(t, "prefixes") {
			c.raw.Routes = append(c.raw.Routes, rawRoute{Prefix: prefix})
		}
		c.buildRoutes()
		p := path.Draw(t, "path")
		want := ""
		for _, r := range c.raw.Routes {
			rest, ok := strings.CutPrefix(p, r.Prefix)
			atSegmentEnd := rest == "" || rest[0] == '/' || strings.HasSuffix(r.Prefix, "/")
			if ok && atSegmentEnd && len(r.Prefix) > len(want) {
				want = r.Prefix
			}
		}
		if r, ok := c.Match(p, "GET"); r.Prefix() != want || ok != (want != "") {
			t.Fatalf("%s: got %q, want %q of %v", p, r.Prefix(), want, c.raw.Routes)
		}
	})
}

// BenchmarkMatch measures the search for the route of a request.
func BenchmarkMatch(b *testing.B) {
	c, _ := example(b)
	b.ReportAllocs()
	for b.Loop() {
		c.Match("/bookings/7/charge", "POST")
	}
}

// TestKey guards against a key that differs from the one that the upstream reads, such as with escaped slashes or repeated values.
func TestKey(t *testing.T) {
	c, _ := example(t)
	for _, test := range []struct {
		target, header, want string
	}{
		{"/bookings/a%2Fb/charge", "", "a/b"},
		{"/bookings//charge", "", ""},
		{"/bookings", "", ""},
		{"/bookings/search?club=north", "", "north"},
		{"/bookings/search?club=north&club=south", "", ""},
		{"/bookings/search?club=%zz", "", ""},
		{"/documents/1", "seven", "seven"},
		{"/documents/1", "", ""},
	} {
		req := httptest.NewRequest(http.MethodGet, test.target, nil)
		if test.header != "" {
			req.Header.Set("Club", test.header)
		}
		r, _ := c.Match(req.URL.Path, req.Method)
		if key, ok := r.Key(req); key != test.want || ok != (test.want != "") {
			t.Errorf("%s: got %q %t, want %q", test.target, key, ok, test.want)
		}
	}
}

// TestIdempotentAndOnce guards against a booking that runs twice because the defaults of its route treat it as idempotent.
func TestIdempotentAndOnce(t *testing.T) {
	c, _ := example(t)
	for _, test := range []struct {
		path, method     string
		idempotent, once bool
	}{
		{"/bookings", "POST", false, true},
		{"/bookings", "PATCH", false, true},
		{"/bookings", "GET", true, false},
		{"/bookings/search", "POST", true, false},
	} {
		r, _ := c.Match(test.path, test.method)
		if r.Idempotent(test.method) != test.idempotent || r.Once(test.method) != test.once {
			t.Errorf("%s %s: idempotent %t, once %t", test.method, test.path, r.Idempotent(test.method), r.Once(test.method))
		}
	}
}

// TestValidationErrors guards against a faulty configuration that is accepted, an error with a wrong position, and errors that hide others.
func TestValidationErrors(t *testing.T) {
	_, content := example(t)
	for _, test := range []struct{ old, replacement, want string }{
		{`{"name": "documents"`, `{"name": "bookings"`, `4:14: services[1].name: service "bookings" is given twice`},
		{`1024`, `1000`, "3:40: services[0].partitions: 1000: want a power of two"},
		{`path:2`, `path:0`, "7:59: routes[0].key"},
		{`header:Club`, `cookie:Club`, "routes[2].key"},
		{`"importance": 9`, `"importance": 10`, "routes[0].importance: want 0 to 9"},
		{`"timeout": "20s"`, `"timeout": "26s"`, "routes[2].timeout: want up to 25s"},
		{`"timeout": "20s"`, `"timeout": 20`, "routes[2].timeout: want a string"},
		{`"GET", "POST"`, `"get"`, "routes[1].methods[0]"},
		{`"/bookings/search"`, `"/bookings"`, ""},
		{`"/documents"`, `"/bookings"`, "9:16: routes[2].prefix: routes[0] has the same prefix"},
		{`"idempotent": true`, `"idempotent": true, "once": true`, "routes[1].once"},
		{`"limits"`, `"limit"`, "11:3: limit: unknown field"},
		{`"churn": 3`, `"churn": -1`, "weights.churn"},
		{`"churn": 3`, `"churn": 3, "churn": 4`, "weights.churn: the field is given twice"},
		{`"retry_percent": 10`, `"retry_percent": 1.5`, "limits.retry_percent: want a whole number"},
		{`"weights": {`, `"weights" {`, "12:13: "},
		{`{"churn": 3`, strings.Repeat("[", 1000), "levels of nesting"},
		{`"unavailable": 2}`, `"unavailable": 2`, "13:"},
	} {
		broken := strings.Replace(content, test.old, test.replacement, 1)
		_, err := Parse([]byte(broken))
		var errs document.ValidationErrors
		switch {
		case broken == content:
			t.Errorf("the example lacks %s", test.old)
		case test.want == "" && err != nil:
			t.Errorf("%s: %v", test.replacement, err)
		case test.want != "" && (!errors.As(err, &errs) || !strings.Contains(errs.Error(), test.want)):
			t.Errorf("%s: got %v, want %s", test.replacement, err, test.want)
		}
	}
	_, err := Parse([]byte(`{"services": [{"name": "A", "partitions": 3}], "routes": [{"prefix": "x"}]}`))
	var errs document.ValidationErrors
	if !errors.As(err, &errs) || len(errs) != 5 {
		t.Errorf("got %v, want 5 errors", err)
	}
}

// FuzzParse guards against input that makes the parser panic, and against a valid configuration that changes when it is encoded and
// parsed again.
func FuzzParse(f *testing.F) {
	_, content := example(f)
	f.Add([]byte(content))
	f.Add([]byte(`{"services":[{"name":"a","partitions":1}],"routes":[{}],"limits":null}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		c, err := Parse(content)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(encoded)
		if err != nil || len(Diff(c, again)) > 0 {
			t.Errorf("%s: %v %v", encoded, err, Diff(c, again))
		}
	})
}

// TestApply guards against an operator who overwrites a change of another operator without having seen it, and against a conflict that
// doesn't show that change.
func TestApply(t *testing.T) {
	c, content := example(t)
	server := httptest.NewServer((&fake.Platform{}).Handler())
	defer server.Close()
	client := table.New(server.URL)
	ctx := t.Context()

	if _, err := Apply(ctx, client, Config{}, 0, "ana", ""); !hasCode(err, code.BadConfig) {
		t.Errorf("empty configuration: %v", err)
	}
	if a, err := Apply(ctx, client, c, 0, "ana", "first"); err != nil || a.Value.Version() != 1 {
		t.Fatalf("got version %d, %v", a.Value.Version(), err)
	}
	changed, err := Parse([]byte(strings.Replace(content, `"importance": 9`, `"importance": 8`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Apply(ctx, client, changed, 1, "ben", "less"); err != nil {
		t.Fatal(err)
	}
	_, err = Apply(ctx, client, c, 1, "ana", "again")
	if !hasCode(err, code.Conflict) || !strings.Contains(err.Error(), "version 2 by ben") ||
		!strings.Contains(err.Error(), "routes[/bookings].importance: 9 -> 8") {
		t.Errorf("got %v, want a conflict that names ben and the importance", err)
	}
	loaded, err := Load(ctx, client)
	if err != nil || loaded.Version != 2 || loaded.Value.Version() != 2 || len(Diff(loaded.Value, changed)) > 0 {
		t.Errorf("got version %d, %v", loaded.Version, err)
	}
}

func hasCode(err error, want code.Code) bool {
	got, _ := code.Of(err)
	return got == want
}
