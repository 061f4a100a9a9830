package command_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/object"
	objects "briarwell.dev/core/object/memory"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer/peerpb"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
	"briarwell.dev/core/table/memory"
	"briarwell.dev/ctl/command"
)

// TestMain runs the tests, or the command line if TestHelp started the process.
func TestMain(m *testing.M) {
	if os.Getenv("BRIARWELL_TEST_PROGRAM") != "" {
		os.Exit(command.Run(context.Background(), command.NewEnvironment(), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// faultyTable is a table with injected outages. While unavailable is set, reads
// and scans fail. While dropCommits is set, commits fail without effect. The next
// lostResponses commits take effect, but their responses are lost.
type faultyTable struct {
	*memory.Table
	unavailable   bool
	dropCommits   bool
	lostResponses int
}

func (f *faultyTable) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	noResponse := table.NewOutageError("commit", errors.New("connection reset"))
	if f.dropCommits {
		return 0, noResponse
	}
	revision, err := f.Table.Commit(ctx, transaction)
	if f.lostResponses > 0 {
		f.lostResponses--
		return 0, noResponse
	}
	return revision, err
}

func (f *faultyTable) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	if f.unavailable {
		return nil, table.NewOutageError("read", errors.New("connection refused"))
	}
	return f.Table.Read(ctx, keys)
}

func (f *faultyTable) Scan(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	if f.unavailable {
		return nil, 0, table.NewOutageError("scan", errors.New("connection refused"))
	}
	return f.Table.Scan(ctx, prefix, since)
}

// faultyStore is an object store whose writes fail while unavailable is set.
type faultyStore struct {
	*objects.Store
	unavailable bool
}

func (f *faultyStore) Put(ctx context.Context, body []byte) (object.Digest, error) {
	if f.unavailable {
		return "", object.NewOutageError("put", errors.New("connection refused"))
	}
	return f.Store.Put(ctx, body)
}

// session runs commands against one platform and records their output in a
// transcript.
type session struct {
	t              *testing.T
	table          *faultyTable
	store          *faultyStore
	statusHandlers map[string]func() (*peerpb.StatusResponse, error)
	started        time.Time
	editCount      int
	ctx            context.Context
	// directory holds the files of the session. The golden file omits its path.
	directory  string
	transcript bytes.Buffer
}

// runSession runs the script under a fake clock, which starts in 2000, and compares
// the transcript with a golden file.
func runSession(t *testing.T, name string, script func(*session)) {
	t.Helper()
	var s *session
	synctest.Test(t, func(t *testing.T) {
		s = newSession(t)
		script(s)
	})
	goldie.New(t).Assert(t, name, bytes.ReplaceAll(s.transcript.Bytes(), []byte(s.directory+"/"), nil))
}

func newSession(t *testing.T) *session {
	return &session{
		t: t, started: time.Now(), ctx: t.Context(), directory: t.TempDir(), statusHandlers: map[string]func() (*peerpb.StatusResponse, error){},
		table: &faultyTable{Table: memory.New()}, store: &faultyStore{Store: objects.New()},
	}
}

func (s *session) Status(_ context.Context, address string) (*peerpb.StatusResponse, error) {
	if handler, ok := s.statusHandlers[address]; ok {
		return handler()
	}
	return nil, errors.New("connection refused")
}

func (s *session) Drain(ctx context.Context, address string, incarnation identity.Incarnation) (*peerpb.DrainResponse, error) {
	status, err := s.Status(ctx, address)
	if err != nil {
		return nil, err
	}
	accepted := status.GetIncarnation() == uint64(incarnation)
	return &peerpb.DrainResponse{Incarnation: status.GetIncarnation(), Accepted: accepted, State: "draining"}, nil
}

// runLine runs a command line whose arguments are separated by spaces.
func (s *session) runLine(line string) {
	fmt.Fprintf(&s.transcript, "$ briarwell %s\n", line)
	start := time.Now()
	code := command.Run(s.ctx, command.NewEnvironment(
		command.WithOutput(&s.transcript, &s.transcript), command.WithDaemonClient(s), command.WithDefaultAuthor("ada"),
		command.WithPlatform(func(string, string) (table.Table, object.Store, error) { return s.table, s.store, nil }),
		command.WithEditIDs(func() string { s.editCount++; return fmt.Sprint("edit", s.editCount) }),
	), strings.Fields(strings.ReplaceAll(line, "EXAMPLES", "../../examples")))
	fmt.Fprintf(&s.transcript, "[exit %d after %v]\n\n", code, time.Since(start))
}

func (s *session) writeNote(text string) { fmt.Fprintf(&s.transcript, "# %s\n", text) }

func (s *session) writeFile(name, text string) string {
	path := filepath.Join(s.directory, name)
	is.New(s.t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	s.writeNote(name + ": " + text)
	return path
}

func (s *session) putRow(key string, value []byte) {
	_, err := s.table.Table.Commit(s.ctx, table.NewTransaction(nil, []table.Mutation{table.NewPut(key, value)}))
	is.New(s.t).NoErr(err)
}

// addMember stores a member row. If versions are given, its daemon reports each of
// them for one second, and the last one from then on; otherwise it does not respond.
func (s *session) addMember(incarnation identity.Incarnation, region string, service identity.Service, state membership.State, versions ...uint64) {
	name := fmt.Sprintf("%s-%d", region, incarnation)
	address := fmt.Sprintf("127.0.0.%d:9090", incarnation)
	instance := membership.NewInstance(name, fmt.Sprintf("127.0.0.%d:8080", incarnation), address, identity.NewLocation(region, region+"-a"))
	announcement := membership.NewAnnouncement(service, 12, 110, "epoch", 0)
	s.putRow(membership.Key(incarnation), membership.Encode(membership.NewMember(incarnation, instance).WithAnnouncement(announcement).WithState(state)))
	if len(versions) == 0 {
		return
	}
	s.statusHandlers[address] = func() (*peerpb.StatusResponse, error) {
		index := min(int(time.Since(s.started)/time.Second), len(versions)-1)
		return &peerpb.StatusResponse{
			Incarnation: uint64(incarnation), Instance: name, State: string(state), ConfigVersion: versions[index], LeaseMillis: 1200,
			Services: []*peerpb.OwnedService{{Shards: 1, InFlight: uint32(incarnation), Queued: 1}},
		}, nil
	}
}

const lagosDocument = `{"name":"lagos","kind":"lendingService","parameters":{"patternTimeoutMillis":90000}}`

func bookingsService() identity.Service { return identity.NewService("lagos", "bookings") }

// Guards against changes of the output and exit codes on which operators and their
// scripts depend, in the usual sequence of an edit.
func TestSessionEdit(t *testing.T) {
	runSession(t, "edit", func(s *session) {
		s.runLine("validate EXAMPLES/lending-service.json EXAMPLES/lagos.json EXAMPLES/onboarding.json EXAMPLES/primeiro-dia.json")
		s.runLine("status --table http://t:1")
		s.addMember(1, "lagos", bookingsService(), membership.StateActive, 1, 1, 2)
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 0 --table http://t:1")
		file := s.writeFile("edited.json", lagosDocument)
		s.runLine("diff " + file + " --table http://t:1")
		s.runLine("diff " + file + " --table http://t:1 --json")
		s.runLine("apply " + file + " --expect 1 --table http://t:1")
		s.runLine("apply " + file + " --expect 2 --table http://t:1")
		s.writeNote("another operator bases an edit on version 1")
		s.runLine("apply EXAMPLES/lagos.json --expect 1 --author bisi --table http://t:1")
		s.runLine("status --table http://t:1")
		s.runLine("status --table http://t:1 --json")
		s.runLine("history --table http://t:1 --count 1")
		s.runLine("history --table http://t:1")
		s.runLine("history --table http://t:1 --count 1 --json")
	})
}

// Guards against a version reported as accepted before every region has confirmed
// it, and against a pending edit reported as failed or without its region.
func TestSessionPending(t *testing.T) {
	runSession(t, "pending", func(s *session) {
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 0 --table http://t:1")
		s.addMember(1, "lagos", bookingsService(), membership.StateActive, 1, 2)
		s.addMember(2, "kano", bookingsService(), membership.StateActive)
		s.addMember(3, "enugu", bookingsService(), membership.StateActive, 1, 1, 1, 2)
		s.addMember(4, "enugu", bookingsService(), membership.StateDead)
		file := s.writeFile("edited.json", lagosDocument)
		s.runLine("apply " + file + " --expect 1 --timeout 5s --table http://t:1")
		s.runLine("status --table http://t:1")
		s.writeNote("the command is interrupted after 1 s")
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		sessionCtx := s.ctx
		s.ctx = ctx
		s.runLine("apply " + file + " --expect 2 --table http://t:1 --json")
		cancel()
		s.ctx = sessionCtx
		s.writeNote("kano-2 lost its lease and was marked dead")
		s.addMember(2, "kano", bookingsService(), membership.StateDead)
		s.runLine("apply " + file + " --expect 2 --table http://t:1")
		s.runLine("status --table http://t:1")
	})
}

// Guards against an explanation that names another owner than the table, or omits
// why a key is not served.
func TestSessionExplain(t *testing.T) {
	runSession(t, "explain", func(s *session) {
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 0 --table http://t:1")
		s.addMember(1, "lagos", bookingsService(), membership.StateActive, 1)
		s.addMember(2, "kano", bookingsService(), membership.StateDead)
		s.addMember(3, "enugu", identity.NewService("lagos", "catalogue"), membership.StateActive, 1)
		groups := make(map[int]ownership.Group)
		setEntry := func(key, hotKey string, entry ownership.Entry) {
			id := shard.ForKey(key, 256)
			groups[int(id)/ownership.GroupSize] = groups[int(id)/ownership.GroupSize].WithEntry(ownership.NewUnit(id, hotKey), entry)
		}
		setEntry("b-17", "", ownership.NewEntry(1, 4, true))
		setEntry("b-18", "", ownership.NewEntry(2, 3, false))
		setEntry("b-19", "b-19", ownership.NewEntry(1, 9, false))
		for number, group := range groups {
			s.putRow(ownership.Key(bookingsService(), number), ownership.Encode(group))
		}
		for _, line := range []string{
			"bookings b-17 --method POST --path /b-17/deposit", "bookings b-18 --method GET --path /b-18", "bookings b-19 --method GET --path /b-19 --json",
			"bookings b-20 --method GET --path /b-20", "catalogue", "patterns --method POST --path /p", "bookings", "catalogue uniform", "nothing k", "catalogue --table http://t:1 -- -5",
		} {
			s.runLine("explain lagos/" + line + " --table http://t:1")
		}
	})
}

// Guards against retiring a daemon that still runs, after which its keys would have
// two owners, and against draining another process at the address of the member.
func TestSessionDrainAndRetire(t *testing.T) {
	runSession(t, "drain_retire", func(s *session) {
		s.addMember(1, "lagos", bookingsService(), membership.StateActive, 1)
		s.addMember(2, "kano", bookingsService(), membership.StateActive)
		s.addMember(3, "kano", bookingsService(), membership.StateActive)
		s.statusHandlers["127.0.0.3:9090"] = func() (*peerpb.StatusResponse, error) { return &peerpb.StatusResponse{Incarnation: 9}, nil }
		s.putRow(ownership.Key(bookingsService(), 0), ownership.Encode(ownership.Group{}.WithEntry(ownership.NewUnit(1, ""), ownership.NewEntry(2, 5, false)).WithEntry(ownership.NewUnit(0, ""), ownership.NewEntry(1, 2, false))))
		for _, line := range []string{
			"drain lagos-1", "drain lagos-1 --json", "drain kano-2", "drain kano-3", "drain nobody", "retire kano-2", "retire lagos-1 --confirm-stopped",
			"retire kano-2 --confirm-stopped", "retire kano-2 --confirm-stopped", "retire 0000000000000003 --confirm-stopped --json", "status",
		} {
			s.runLine(line + " --table http://t:1")
		}
		rows, err := s.table.Read(s.ctx, []string{ownership.Key(bookingsService(), 0)})
		is.New(s.t).NoErr(err)
		s.writeNote("shards/lagos/bookings/0: " + string(rows[0].Value()))
	})
}

// Guards against a wrong exit code for invalid input or an outage, and against
// messages without the found and the allowed values.
func TestSessionErrors(t *testing.T) {
	runSession(t, "errors", func(s *session) {
		s.runLine("validate EXAMPLES/lagos.json EXAMPLES/missing.json")
		s.runLine("validate EXAMPLES/lagos.json")
		s.runLine("validate EXAMPLES/lending-service.json EXAMPLES/lagos.json EXAMPLES/lagos.json")
		s.runLine("validate " + s.writeFile("bad.json", `{"name":"lagos","kind":7,"parameter":{}}`))
		s.runLine("validate EXAMPLES/lending-service.json " + s.writeFile("parameters.json", `{"name":"lagos","kind":"lendingService","parameters":{"patternTimeoutMillis":1,"queueLimit":"5"}}`))
		s.runLine("validate " + s.writeFile("template.json", `{"kind":"k","services":[{"name":"s","keyed":true,"shards":8,"fencing":"none","settleMillis":40,"routes":[{"idempotent":false}]}]}`) +
			" " + s.writeFile("organisation.json", `{"name":"o","kind":"k"}`) + " --json")
		s.runLine("status")
		s.runLine("status --table t:1 --objects ftp://o")
		s.runLine("apply EXAMPLES/lagos.json --table http://t:1")
		s.runLine("apply EXAMPLES/lagos.json --expect 1.5 --table http://t:1")
		s.runLine("apply EXAMPLES/lagos.json --expect 0 --table http://t:1")
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 3 --table http://t:1")
		s.runLine("history --count 0 --table http://t:1")
		s.writeNote("the object store does not respond")
		s.store.unavailable = true
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 0 --table http://t:1")
		s.store.unavailable = false
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 0 --table http://t:1")
		s.runLine("apply " + s.writeFile("shards.json", `{"name":"lagos","kind":"lendingService","parameters":{"patternTimeoutMillis":90000,"bookingShards":512}}`) + " --expect 1 --table http://t:1")
		s.writeNote("the table stores the edit, the accepted version and the member row, but the responses are lost")
		file := s.writeFile("edited.json", lagosDocument)
		s.table.lostResponses = 2
		s.runLine("apply " + file + " --expect 1 --table http://t:1")
		s.addMember(1, "lagos", bookingsService(), membership.StateActive)
		s.table.lostResponses = 1
		s.runLine("retire lagos-1 --confirm-stopped --table http://t:1")
		s.writeNote("the table drops commits")
		s.table.dropCommits = true
		s.runLine("apply EXAMPLES/lagos.json --expect 2 --table http://t:1")
		s.writeNote("the table does not respond")
		s.table.unavailable = true
		for _, line := range []string{"status", "apply EXAMPLES/lagos.json --expect 1", "explain lagos/bookings b-1", "history", "drain lagos-1"} {
			s.runLine(line + " --table http://t:1")
		}
	})
}
