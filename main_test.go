package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/sheet"
	"sapphiretray/table"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sapphiretray": main})
}

// fakePlatform is the table service and the object store of one script. It can lose the responses to writes to the table.
type fakePlatform struct {
	fake.Platform
	server *httptest.Server
	// responsesToLose is the number of writes to come that take effect without a response.
	responsesToLose atomic.Int32
	// faultAfterLoss is the fake.Fault that starts once a response was lost.
	faultAfterLoss atomic.Value
}

type fakePlatformKey struct{}

func newFakePlatform(env *testscript.Env) *fakePlatform {
	s := &fakePlatform{}
	inner := s.Handler()
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/transact" || s.responsesToLose.Add(-1) < 0 {
			inner.ServeHTTP(w, r)
			return
		}
		inner.ServeHTTP(httptest.NewRecorder(), r)
		if fault, ok := s.faultAfterLoss.Load().(fake.Fault); ok {
			s.Faults().Set(fault)
		}
		panic(http.ErrAbortHandler)
	}))
	env.Defer(s.server.Close)
	env.Values[fakePlatformKey{}] = s
	env.Setenv("SAPPHIRE_TABLE", s.server.URL)
	env.Setenv("SAPPHIRE_OBJECT", s.server.URL)
	env.Setenv("SAPPHIRE_BY", "ana")
	return s
}

// TestScripts runs the scripts in testdata/script. Each begins with the failures that it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			newFakePlatform(env)
			return os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS("docs/examples"))
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fault":     faultCommand,
			"instance":  instanceCommand,
			"edit":      editCommand,
			"exec-code": exitCodeCommand,
			"race":      raceCommand,

			"lose-object": loseObjectCommand,
		},
	})
}

// faultCommand: fault none|down|slow|lose|lose-then-down. The last two lose the response to the next write to the table.
func faultCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(fakePlatformKey{}).(*fakePlatform)
	switch args[0] {
	case "lose":
		s.responsesToLose.Store(1)
	case "lose-then-down":
		s.faultAfterLoss.Store(fake.Fault{Mode: fake.Down})
		s.responsesToLose.Store(1)
	case "slow":
		s.Faults().Set(fake.Fault{Mode: fake.Slow, DelayMS: 3000})
	default:
		s.Faults().Set(fake.Fault{Mode: fake.Mode(args[0])})
	}
}

// editCommand: edit FILE OLD NEW replaces text that must be in the file.
func editCommand(ts *testscript.TestScript, _ bool, args []string) {
	content := ts.ReadFile(args[0])
	if !strings.Contains(content, args[1]) {
		ts.Fatalf("%s lacks %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(content, args[1], args[2], 1)), 0o600))
}

// loseObjectCommand: lose-object puts a sheet into effect whose content is missing in the object store.
func loseObjectCommand(ts *testscript.TestScript, _ bool, _ []string) {
	client := table.New(ts.Value(fakePlatformKey{}).(*fakePlatform).server.URL)
	_, err := table.Update(context.Background(), client, sheet.RowKey, table.Change[sheet.Entry]{
		Seen: table.AnyVersion,
		Next: func(sheet.Entry, uint64) (sheet.Entry, error) { return sheet.Entry{Object: "sheet/lost"}, nil },
	})
	ts.Check(err)
}

// fakeInstance responds to the fetch of a row with a version and serves no other call.
type fakeInstance struct {
	peer.Peer
	version uint64
}

func (i fakeInstance) Fetch(context.Context, *peer.FetchRequest) (*peer.FetchResponse, error) {
	return &peer.FetchResponse{Version: i.version}, nil
}

// instanceCommand: instance SLOT [VERSION] registers an instance that has this version of the sheet. Without a version, the
// instance can't be reached.
func instanceCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(fakePlatformKey{}).(*fakePlatform)
	address := "127.0.0.1:1"
	if len(args) > 1 {
		version, err := strconv.ParseUint(args[1], 10, 64)
		ts.Check(err)
		server := httptest.NewServer(peer.NewPeerServer(fakeInstance{version: version}))
		ts.Defer(server.Close)
		address = server.Listener.Addr().String()
	}
	value, err := json.Marshal(member.Record{
		Incarnation: member.NewIncarnation(args[0], 1), PeerAddress: address, State: member.Ready,
	})
	ts.Check(err)
	_, err = table.New(s.server.URL).Commit(context.Background(), table.Transaction{
		Writes: []table.Write{{Key: member.RowKey(args[0]), Value: value}},
	})
	ts.Check(err)
}

// TestCodesPage guards against a page that differs from package code in the status of a result code, in whether the request ran, or in
// the text; against a code that no section of the page covers; and against a code that the operators' manual doesn't explain.
func TestCodesPage(t *testing.T) {
	page, err := os.ReadFile("docs/codes.md")
	if err != nil {
		t.Fatal(err)
	}
	manual, err := os.ReadFile("docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != codesPage() {
		t.Error("docs/codes.md is out of date; run: go run . codes --markdown > docs/codes.md")
	}
	for _, e := range code.All() {
		row := "| " + strings.Join([]string{
			strconv.Itoa(int(e.Number())), e.Name(), strconv.Itoa(e.Status()), string(e.Ran()), e.Text(),
		}, " | ") + " |\n"
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/codes.md lacks %s", row)
		}
		forOperators := e.Number() > 1500
		if forOperators != strings.Contains(string(manual), fmt.Sprintf("\n| %d | ", e.Number())) {
			t.Errorf("docs/operators.md must explain exactly the codes from 1501 on; check %d", e.Number())
		}
	}
}

// exitCodeCommand: exec-code N COMMAND... runs a command that must end with the exit code N.
func exitCodeCommand(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	got := 0
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if want, _ := strconv.Atoi(args[0]); got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// raceCommand: race COMMAND... runs the command three times in parallel. One must succeed and the others must fail.
func raceCommand(ts *testscript.TestScript, _ bool, args []string) {
	var group sync.WaitGroup
	var succeeded atomic.Int32
	var mu sync.Mutex
	environment := os.Environ()
	for _, name := range []string{"PATH", "SAPPHIRE_TABLE", "SAPPHIRE_OBJECT", "SAPPHIRE_BY"} {
		environment = append(environment, name+"="+ts.Getenv(name))
	}
	for range 3 {
		group.Go(func() {
			command := exec.Command(args[0], args[1:]...)
			command.Dir, command.Env = ts.MkAbs("."), environment
			printed, err := command.CombinedOutput()
			if err == nil {
				succeeded.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			_, _ = ts.Stdout().Write(printed)
		})
	}
	group.Wait()
	if n := succeeded.Load(); n != 1 {
		ts.Fatalf("%d commands succeeded, want 1", n)
	}
}
