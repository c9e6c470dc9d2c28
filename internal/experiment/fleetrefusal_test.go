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

// TestRefusals checks that changes that must not take effect are refused with a reason: scripts
// that are invalid or need a restart, and operators without the permission or a valid certificate.
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
		// the platform limits the director to one core; the script is valid and is applied
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
			t.Errorf("%d directors run the refused script", n)
		}
	})
	t.Run("an operator who may only look", func(t *testing.T) {
		if err := authority.Issue(f.AuthorityDir, f.Dir, "looker", []authority.Role{authority.RoleViewer}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		viewer, err := f.Operator("looker")
		if err != nil {
			t.Fatal(err)
		}
		defer viewer.Close()
		v := viewer.Snapshot(t.Context())
		if len(v.Directors) != 3 || !v.Directors[0].Up {
			t.Errorf("viewer can't read the fleet's state: %+v", v)
		}
		r, err := viewer.Run(t.Context(), addLine(t, v, `log(level = "warn")`, 0), nil, nil)
		if err != nil || r.RefusalReason == "" || r.Outcome != rollout.Undecided {
			t.Errorf("%+v, %v", r, err)
		}
	})
	t.Run("a revoked and an expired certificate", func(t *testing.T) {
		if err := authority.Issue(f.AuthorityDir, f.Dir, "left", []authority.Role{authority.RoleEditor}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		revoked, err := f.Operator("left")
		if err != nil {
			t.Fatal(err)
		}
		defer revoked.Close()
		if v := revoked.Snapshot(t.Context()); !v.Agents[0].Reachable {
			t.Fatalf("%+v", v.Agents)
		}
		cert, err := authority.LoadCertificate(filepath.Join(f.Dir, "left.pem"))
		if err != nil {
			t.Fatal(err)
		}
		if err := authority.Revoke(f.AuthorityDir, []*x509.Certificate{cert}, time.Now()); err != nil {
			t.Fatal(err)
		}
		// A revocation takes effect immediately, also on an open connection.
		for _, a := range revoked.Snapshot(t.Context()).Agents {
			if a.Reachable || !strings.Contains(a.Reason, "revoked") {
				t.Errorf("%+v", a)
			}
		}
		if err := authority.Issue(f.AuthorityDir, f.Dir, "late", []authority.Role{authority.RoleEditor}, time.Minute, time.Now().Add(-2*time.Hour)); err != nil {
			t.Fatal(err)
		}
		expired, err := f.Operator("late")
		if err != nil {
			t.Fatal(err)
		}
		defer expired.Close()
		for _, a := range expired.Snapshot(t.Context()).Agents {
			if a.Reachable {
				t.Errorf("%+v", a)
			}
		}
	})
}
