package commander

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/informer"
	"celeryhead.dev/celeryhead/messenger"
)

// load reads and checks the file.
func (s *session) load() (composer.Config, error) {
	text, err := os.ReadFile(s.file)
	if err != nil {
		return composer.Config{}, err
	}
	c, err := composer.Parse(text)
	if err != nil {
		return composer.Config{}, err
	}
	return c, c.Check()
}

func (s *session) check(context.Context) error {
	c, err := s.load()
	if err != nil {
		return err
	}
	for _, w := range composer.Warnings(composer.Config{}, c) {
		s.note("warning: %s", w)
	}
	s.note("%s is valid: %d regions, %d pools, %d routes, %d accounts, %d blocks, %d shifts, %d drains", s.file,
		len(c.Regions), len(c.Pools), len(c.Routes), len(c.Accounts), len(c.Blocks), len(c.Shifts), len(c.Drains))
	return nil
}

type planJSON struct {
	BaseVersion uint64   `json:"base_version"`
	Changes     []string `json:"changes"`
	Warnings    []string `json:"warnings"`
}

func (s *session) plan(ctx context.Context) error {
	c, err := s.load()
	if err != nil {
		return err
	}
	newest, err := s.newest(ctx)
	if err != nil {
		return err
	}
	p := planJSON{BaseVersion: newest.number, Changes: []string{}, Warnings: []string{}}
	for _, v := range composer.Diff(newest.config, c) {
		p.Changes = append(p.Changes, v.String())
	}
	p.Warnings = append(p.Warnings, composer.Warnings(newest.config, c)...)
	if s.json {
		return s.printJSON(p)
	}
	for _, v := range p.Changes {
		s.print("%s", v)
	}
	for _, v := range p.Warnings {
		s.print("warning: %s", v)
	}
	if len(p.Changes) == 0 {
		s.note("no changes against version %d", p.BaseVersion)
		return nil
	}
	s.note("%d changes against version %d; to make them: celeryhead apply %s --base %d --reason ...",
		len(p.Changes), p.BaseVersion, s.file, p.BaseVersion)
	return nil
}

func (s *session) noteChanges(changes []composer.Change) {
	for _, v := range changes {
		s.note("%s", v)
	}
}

func (s *session) status(ctx context.Context) error {
	if err := s.connect(); err != nil {
		return err
	}
	m, err := read(ctx, s.client, func(ctx context.Context, o messenger.Operator) (*messenger.StatusReply, error) {
		return o.Status(ctx, &messenger.Empty{})
	})
	if err != nil {
		return err
	}
	if s.json {
		return s.printMessage(m)
	}
	s.print("answered by %s: configuration %d, heads %d, store reachable %t, proof %s old (fleet fresh %t, region fresh %t)",
		m.AnsweredBy, m.ConfigVersion, m.HeadsVersion, m.StoreReachable,
		time.Duration(m.ProofAgeMs)*time.Millisecond, m.FleetFresh, m.RegionFresh)
	return s.tables(m)
}

func (s *session) tables(m *messenger.StatusReply) error {
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	row(w, "\nINSTANCE", "REGION", "FAILURE DOMAIN", "STATE", "SEEN AS", "CONFIGURATION", "HEARD")
	for _, v := range m.Instances {
		row(w, v.Member.GetName(), v.Member.GetRegion(), v.Member.GetFailureDomain(), v.Member.GetState(), v.View,
			v.ConfigVersion, fmt.Sprintf("%d ms ago", v.HeardMsAgo))
	}
	row(w, "\nTARGET", "POOL", "OWNER", "IN FLIGHT", "SLOTS", "HEALTH")
	for _, v := range m.Targets {
		row(w, v.Name, v.Pool, v.Owner, v.InFlight, v.Slots, v.Health)
	}
	if len(m.Shifts) > 0 {
		row(w, "\nSHIFT", "STEP", "SHARE", "HELD BECAUSE")
	}
	for _, v := range m.Shifts {
		row(w, v.Name, v.Step, v.Share, v.HeldBecause)
	}
	row(w, "\nACCOUNT", "ADMITTED", "REFUSED OVER RATE", "REFUSED WITHIN RATE", "P99 MS")
	for _, v := range m.Accounts {
		row(w, v.Name, v.Admitted, v.RefusedOverRate, v.RefusedWithinRate, v.P99Ms)
	}
	return w.Flush()
}

// row writes to a tabwriter, which reports errors on Flush.
func row(w *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

// instance reads the status that an instance on the platform serves without a certificate.
func (s *session) instance(ctx context.Context) error {
	a, err := netip.ParseAddrPort(s.metrics)
	if err != nil {
		return merry.Wrap(errUsage, merry.AppendMessagef("address %q: %v", s.metrics, err))
	}
	t, err := informer.Fetch(ctx, a)
	if err != nil {
		return merry.Wrap(errUnreachable, merry.AppendMessage(err.Error()))
	}
	if s.json {
		return s.printJSON(t)
	}
	return informer.Print(s.Out, t)
}

func (s *session) audit(ctx context.Context) error {
	if err := s.connect(); err != nil {
		return err
	}
	m, err := read(ctx, s.client, func(ctx context.Context, o messenger.Operator) (*messenger.AuditReply, error) {
		return o.Audit(ctx, &messenger.AuditRequest{AfterVersion: s.after, Limit: s.limit})
	})
	if err != nil {
		return err
	}
	if s.json {
		return s.printMessage(m)
	}
	for _, v := range m.Rows {
		s.print("version %d, %s by %s at %s on %s: %s", v.Version, v.Kind, v.Operator,
			time.UnixMilli(v.UnixMs).UTC().Format(time.RFC3339), v.Instance, v.Reason)
		for _, c := range v.Changes {
			s.print("    %s", c)
		}
	}
	return nil
}

type exportJSON struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Text    string `json:"text"`
}

func (s *session) export(ctx context.Context) error {
	if err := s.connect(); err != nil {
		return err
	}
	v, err := s.fetch(ctx, s.version)
	if err != nil {
		return err
	}
	if s.json {
		d := composer.Digest(v.text)
		return s.printJSON(exportJSON{Version: v.number, Digest: hex.EncodeToString(d[:]), Text: string(v.text)})
	}
	s.note("version %d", v.number)
	_, err = s.Out.Write(v.text)
	return err
}

// printMessage writes m in the JSON form of Protocol Buffers with names in snake case; integers of 64 bits are strings.
func (s *session) printMessage(m proto.Message) error {
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	// The library varies the white space of its output on purpose.
	var out bytes.Buffer
	if err = json.Indent(&out, b, "", "  "); err != nil {
		return err
	}
	s.print("%s", out.String())
	return nil
}
