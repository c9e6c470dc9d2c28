package experiment

import (
	"crypto/x509"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/rollout"
)

// TestRefusals: changes that must not take effect are refused with a reason.
func TestRefusals(t *testing.T) {
	inParallel(t)
	f, op := newFleet(t, 3, 1)
	t.Run("a faulty script: nobody has it", func(t *testing.T) {
		r, err := op.Run(t.Context(), addLine(t, op.Snapshot(t.Context()), "storm(rise = 0)", 0), nil, nil)
		if err != nil || r.Outcome != rollout.Abort || !strings.Contains(r.RefusalReason, "storm.rise") || !r.AllOrNone() {
			t.Errorf("%+v, %v", r, err)
		}
	})
	t.Run("what the agent had checked and the director would not have", func(t *testing.T) {
		r, err := op.Run(t.Context(), addLine(t, op.Snapshot(t.Context()), "machine(cores = 4)", 0), nil, nil)
		// cores are one by the platform's limit: the script is fine and the director takes it
		if err != nil || r.Outcome != rollout.Commit || !r.AllOrNone() {
			t.Errorf("%+v, %v", r, err)
		}
		v := op.Snapshot(t.Context())
		candidates, _ := v.Candidates()
		change := rollout.Plan(ctl.NewChangeID(), "op", "x", candidates, 1, func(s string) string { return config.Digest([]byte(s)) },
			func(p rollout.Candidate) string { return strings.Replace(p.Script, ".sock", ".elsewhere", 1) })
		r, err = op.Run(t.Context(), change, nil, nil)
		if err != nil || r.StopReason == "" || !strings.Contains(r.StopReason, "needs a restart") {
			t.Errorf("%+v, %v", r, err)
		}
		for _, e := range r.Targets {
			if e.State != "untouched" {
				t.Errorf("%+v", e)
			}
		}
		if n := awaitScripts(t, op, "elsewhere"); n != 0 {
			t.Errorf("%d have it", n)
		}
	})
	t.Run("an operator who may only look", func(t *testing.T) {
		if err := authority.Issue(f.AuthorityDir, f.Dir, "looker", []authority.Role{authority.RoleViewer}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		looker, err := f.Operator("looker")
		if err != nil {
			t.Fatal(err)
		}
		defer looker.Close()
		v := looker.Snapshot(t.Context())
		if len(v.Directors) != 3 || !v.Directors[0].Up {
			t.Errorf("can't look: %+v", v)
		}
		r, err := looker.Run(t.Context(), addLine(t, v, `log(level = "warn")`, 0), nil, nil)
		if err != nil || r.RefusalReason == "" || r.Outcome != rollout.Undecided {
			t.Errorf("%+v, %v", r, err)
		}
	})
	t.Run("a revoked and an expired certificate", func(t *testing.T) {
		if err := authority.Issue(f.AuthorityDir, f.Dir, "left", []authority.Role{authority.RoleEditor}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		left, err := f.Operator("left")
		if err != nil {
			t.Fatal(err)
		}
		defer left.Close()
		if v := left.Snapshot(t.Context()); !v.Agents[0].Reachable {
			t.Fatalf("%+v", v.Agents)
		}
		cert, err := authority.LoadCertificate(filepath.Join(f.Dir, "left.pem"))
		if err != nil {
			t.Fatal(err)
		}
		if err := authority.Revoke(f.AuthorityDir, []*x509.Certificate{cert}, time.Now()); err != nil {
			t.Fatal(err)
		}
		for _, a := range left.Snapshot(t.Context()).Agents { // at once, also on the connection that is there
			if a.Reachable || !strings.Contains(a.Reason, "revoked") {
				t.Errorf("%+v", a)
			}
		}
		if err := authority.Issue(f.AuthorityDir, f.Dir, "late", []authority.Role{authority.RoleEditor}, time.Minute, time.Now().Add(-2*time.Hour)); err != nil {
			t.Fatal(err)
		}
		late, err := f.Operator("late")
		if err != nil {
			t.Fatal(err)
		}
		defer late.Close()
		for _, a := range late.Snapshot(t.Context()).Agents {
			if a.Reachable {
				t.Errorf("%+v", a)
			}
		}
	})
}
