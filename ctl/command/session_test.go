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

// TestMain runs the program itself if it is started by TestHelp.
func TestMain(m *testing.M) {
	if os.Getenv("BRIARWELL_TEST_PROGRAM") != "" {
		os.Exit(command.Run(context.Background(), command.NewEnvironment(), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// faultyTable is a table whose calls get no answer while down is set. Of the
// commits, the next lost ones take effect without an answer; with deaf set none
// takes effect.
type faultyTable struct {
	*memory.Table
	unavailable   bool
	dropCommits   bool
	lostResponses int
}

func (o *faultyTable) Commit(ctx context.Context, transaction table.Transaction) (table.Revision, error) {
	noAnswer := table.NewOutageError("commit", errors.New("connection reset"))
	if o.dropCommits {
		return 0, noAnswer
	}
	revision, err := o.Table.Commit(ctx, transaction)
	if o.lostResponses > 0 {
		o.lostResponses--
		return 0, noAnswer
	}
	return revision, err
}

func (o *faultyTable) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	if o.unavailable {
		return nil, table.NewOutageError("read", errors.New("connection refused"))
	}
	return o.Table.Read(ctx, keys)
}

func (o *faultyTable) Scan(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	if o.unavailable {
		return nil, 0, table.NewOutageError("scan", errors.New("connection refused"))
	}
	return o.Table.Scan(ctx, prefix, since)
}

// faultyStore is an object store that stores nothing while down is set.
type faultyStore struct {
	*objects.Store
	unavailable bool
}

func (o *faultyStore) Put(ctx context.Context, body []byte) (object.Digest, error) {
	if o.unavailable {
		return "", object.NewOutageError("put", errors.New("connection refused"))
	}
	return o.Store.Put(ctx, body)
}

// session runs commands against one platform and records what they print.
type session struct {
	t              *testing.T
	table          *faultyTable
	store          *faultyStore
	statusHandlers map[string]func() (*peerpb.StatusResponse, error)
	started        time.Time
	editCount      int
	ctx            context.Context
	// directory holds the session's files; the record leaves it out.
	directory  string
	transcript bytes.Buffer
}

// runSession runs steps under a fake clock, which starts in 2000, and compares
// the record with a golden file.
func runSession(t *testing.T, name string, steps func(*session)) {
	t.Helper()
	var s *session
	synctest.Test(t, func(t *testing.T) {
		s = newSession(t)
		steps(s)
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
	if answer, ok := s.statusHandlers[address]; ok {
		return answer()
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

// runLine runs a command line, whose words are separated by spaces.
func (s *session) runLine(line string) {
	fmt.Fprintf(&s.transcript, "$ briarwell %s\n", line)
	began := time.Now()
	code := command.Run(s.ctx, command.NewEnvironment(
		command.WithOutput(&s.transcript, &s.transcript), command.WithDaemonClient(s), command.WithDefaultAuthor("ada"),
		command.WithPlatform(func(string, string) (table.Table, object.Store, error) { return s.table, s.store, nil }),
		command.WithEditIDs(func() string { s.editCount++; return fmt.Sprint("edit", s.editCount) }),
	), strings.Fields(strings.ReplaceAll(line, "EXAMPLES", "../../examples")))
	fmt.Fprintf(&s.transcript, "[exit %d after %v]\n\n", code, time.Since(began))
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

// addMember stores a member row. Its daemon answers with the versions, one second
// each.
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
		second := min(int(time.Since(s.started)/time.Second), len(versions)-1)
		return &peerpb.StatusResponse{
			Incarnation: uint64(incarnation), Instance: name, State: string(state), ConfigVersion: versions[second], LeaseMillis: 1200,
			Services: []*peerpb.OwnedService{{Shards: 1, InFlight: uint32(incarnation), Queued: 1}},
		}, nil
	}
}

const lagosDocument = `{"name":"lagos","kind":"lendingService","parameters":{"patternTimeoutMillis":90000}}`

func bookingsService() identity.Service { return identity.NewService("lagos", "bookings") }

// Guards against a change of what operators and their scripts see in the usual
// sequence of an edit.
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
		s.writeNote("another operator has read version 1")
		s.runLine("apply EXAMPLES/lagos.json --expect 1 --author bisi --table http://t:1")
		s.runLine("status --table http://t:1")
		s.runLine("status --table http://t:1 --json")
		s.runLine("history --table http://t:1 --count 1")
		s.runLine("history --table http://t:1")
		s.runLine("history --table http://t:1 --count 1 --json")
	})
}

// Guards against accepted being told while a region has not confirmed, and
// against a pending edit that is told as failed or without its region.
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
		s.writeNote("interrupt after 1 s")
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		whole := s.ctx
		s.ctx = ctx
		s.runLine("apply " + file + " --expect 2 --table http://t:1 --json")
		cancel()
		s.ctx = whole
		s.writeNote("kano-2 lost its lease and was marked dead")
		s.addMember(2, "kano", bookingsService(), membership.StateDead)
		s.runLine("apply " + file + " --expect 2 --table http://t:1")
		s.runLine("status --table http://t:1")
	})
}

// Guards against an explanation that names another owner than the table does,
// or hides why a key is not served.
func TestSessionExplain(t *testing.T) {
	runSession(t, "explain", func(s *session) {
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 0 --table http://t:1")
		s.addMember(1, "lagos", bookingsService(), membership.StateActive, 1)
		s.addMember(2, "kano", bookingsService(), membership.StateDead)
		s.addMember(3, "enugu", identity.NewService("lagos", "catalogue"), membership.StateActive, 1)
		groups := make(map[int]ownership.Group)
		set := func(key, hot string, entry ownership.Entry) {
			id := shard.ForKey(key, 256)
			groups[int(id)/ownership.GroupSize] = groups[int(id)/ownership.GroupSize].WithEntry(ownership.NewUnit(id, hot), entry)
		}
		set("b-17", "", ownership.NewEntry(1, 4, true))
		set("b-18", "", ownership.NewEntry(2, 3, false))
		set("b-19", "b-19", ownership.NewEntry(1, 9, false))
		for number, group := range groups {
			s.putRow(ownership.Key(bookingsService(), number), ownership.Encode(group))
		}
		for _, words := range []string{
			"bookings b-17 --method POST --path /b-17/deposit", "bookings b-18 --method GET --path /b-18", "bookings b-19 --method GET --path /b-19 --json",
			"bookings b-20 --method GET --path /b-20", "catalogue", "patterns --method POST --path /p", "bookings", "catalogue uniform", "nothing k", "catalogue --table http://t:1 -- -5",
		} {
			s.runLine("explain lagos/" + words + " --table http://t:1")
		}
	})
}

// Guards against a daemon being retired that still runs, since its keys would
// have two owners, and against a drain that reaches another process.
func TestSessionDrainAndRetire(t *testing.T) {
	runSession(t, "leave", func(s *session) {
		s.addMember(1, "lagos", bookingsService(), membership.StateActive, 1)
		s.addMember(2, "kano", bookingsService(), membership.StateActive)
		s.addMember(3, "kano", bookingsService(), membership.StateActive)
		s.statusHandlers["127.0.0.3:9090"] = func() (*peerpb.StatusResponse, error) { return &peerpb.StatusResponse{Incarnation: 9}, nil }
		s.putRow(ownership.Key(bookingsService(), 0), ownership.Encode(ownership.Group{}.WithEntry(ownership.NewUnit(1, ""), ownership.NewEntry(2, 5, false)).WithEntry(ownership.NewUnit(0, ""), ownership.NewEntry(1, 2, false))))
		for _, words := range []string{
			"drain lagos-1", "drain lagos-1 --json", "drain kano-2", "drain kano-3", "drain nobody", "retire kano-2", "retire lagos-1 --confirm-stopped",
			"retire kano-2 --confirm-stopped", "retire kano-2 --confirm-stopped", "retire 0000000000000003 --confirm-stopped --json", "status",
		} {
			s.runLine(words + " --table http://t:1")
		}
		rows, err := s.table.Read(s.ctx, []string{ownership.Key(bookingsService(), 0)})
		is.New(s.t).NoErr(err)
		s.writeNote("shards/lagos/bookings/0: " + string(rows[0].Value()))
	})
}

// Guards against bad input or an outage with another exit code, or a message
// without what was found and what is allowed.
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
		s.writeNote("the object store gives no answer")
		s.store.unavailable = true
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 0 --table http://t:1")
		s.store.unavailable = false
		s.runLine("apply EXAMPLES/lending-service.json EXAMPLES/lagos.json --expect 0 --table http://t:1")
		s.runLine("apply " + s.writeFile("shards.json", `{"name":"lagos","kind":"lendingService","parameters":{"patternTimeoutMillis":90000,"bookingShards":512}}`) + " --expect 1 --table http://t:1")
		s.writeNote("the table stores the edit, the mark and the row, but the answers are lost")
		edited := s.writeFile("edited.json", lagosDocument)
		s.table.lostResponses = 2
		s.runLine("apply " + edited + " --expect 1 --table http://t:1")
		s.addMember(1, "lagos", bookingsService(), membership.StateActive)
		s.table.lostResponses = 1
		s.runLine("retire lagos-1 --confirm-stopped --table http://t:1")
		s.writeNote("the table stores nothing")
		s.table.dropCommits = true
		s.runLine("apply EXAMPLES/lagos.json --expect 2 --table http://t:1")
		s.writeNote("the table gives no answer")
		s.table.unavailable = true
		for _, words := range []string{"status", "apply EXAMPLES/lagos.json --expect 1", "explain lagos/bookings b-1", "history", "drain lagos-1"} {
			s.runLine(words + " --table http://t:1")
		}
	})
}
