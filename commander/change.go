package commander

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/timer"
)

// keyAttempts bounds how often a change of one key is made anew after conflicts with other changes.
const keyAttempts = 10

func (s *session) apply(ctx context.Context) error {
	c, err := s.load()
	if err != nil {
		return err
	}
	newest, err := s.prepare(ctx)
	if err != nil {
		return err
	}
	changes := composer.Diff(newest.config, c)
	if s.isNeedless(changes) {
		s.note("no changes against version %d", newest.number)
		return nil
	}
	s.noteChanges(changes)
	return s.change(ctx, s.baseOr(newest.number), c, operator.KindApply)
}

func (s *session) rollback(ctx context.Context) error {
	number, err := parseVersion(s.toVersion)
	if err != nil {
		return err
	}
	newest, err := s.prepare(ctx)
	if err != nil {
		return err
	}
	old, err := s.fetch(ctx, number)
	if err != nil {
		return err
	}
	changes := composer.Diff(newest.config, old.config)
	if s.isNeedless(changes) {
		s.note("version %d is the same as version %d", newest.number, number)
		return nil
	}
	s.noteChanges(changes)
	if restored := composer.NewKeys(changes); len(restored) > 0 && !s.restoreKeys {
		return merry.Errorf("version %d would make withdrawn keys valid again (%s); --restore-keys allows it",
			number, strings.Join(restored, ", "))
	}
	return s.change(ctx, s.baseOr(newest.number), old.config, operator.KindRollback)
}

// isNeedless is false for a repeated operation, whose outcome is asked for although the newest version may show its effect.
func (s *session) isNeedless(changes []composer.Change) bool {
	return len(changes) == 0 && s.operationID == ""
}

// baseOr returns the version in --base; a repeated operation must name the base it had, which may be 0.
func (s *session) baseOr(newest uint64) uint64 {
	if s.base != 0 || s.operationID != "" {
		return s.base
	}
	return newest
}

func (s *session) issueKey(ctx context.Context) error {
	secret, key, err := composer.NewKey(s.account, s.keyName)
	if err != nil {
		return err
	}
	err = s.changeKey(ctx, "issue", operator.KindKeyIssue, func(c composer.Config) (composer.Config, error) {
		return c.WithKey(s.account, key)
	})
	if err == nil || errors.Is(err, errNotInForce) {
		s.note("digest for the operators' program: %s", hex.EncodeToString(key.Digest[:]))
		s.note("the secret is shown only this once:")
		s.print("%s", secret)
	}
	return err
}

func (s *session) withdrawKey(ctx context.Context) error {
	return s.changeKey(ctx, "withdraw", operator.KindKeyWithdraw, func(c composer.Config) (composer.Config, error) {
		return c.WithoutKey(s.account, s.keyName)
	})
}

// changeKey edits the newest version; the edit concerns one key, so after a conflict it is made on the newer version.
func (s *session) changeKey(ctx context.Context, verb string, kind operator.Kind, edit func(composer.Config) (composer.Config, error)) error {
	if s.reason == "" {
		s.reason = fmt.Sprintf("%s key %s/%s", verb, s.account, s.keyName)
	}
	if err := s.connect(); err != nil {
		return err
	}
	var last error
	for range keyAttempts {
		newest, err := s.fetch(ctx, 0)
		if err != nil {
			return err
		}
		c, err := edit(newest.config)
		if err != nil {
			return merry.Prependf(err, "%s/%s", s.account, s.keyName)
		}
		last = s.change(ctx, newest.number, c, kind)
		if !errors.Is(last, errConflict) {
			return last
		}
	}
	return last
}

// prepare refuses a change without a reason and returns the newest version.
func (s *session) prepare(ctx context.Context) (version, error) {
	if strings.TrimSpace(s.reason) == "" {
		return version{}, merry.Append(errUsage, "--reason is required")
	}
	return s.newest(ctx)
}

// change makes c the version after base and waits until it is in force everywhere.
func (s *session) change(ctx context.Context, base uint64, c composer.Config, kind operator.Kind) error {
	text, err := composer.Encode(c)
	if err != nil {
		return err
	}
	r := &messenger.ApplyRequest{
		OperationId: s.operationID,
		BaseVersion: base,
		Text:        text,
		Reason:      s.reason,
		Kind:        string(kind),
	}
	if r.OperationId == "" {
		r.OperationId = newID()
	}
	return s.settle(ctx, r)
}

// settle repeats r, which has an effect once only, until its outcome is known and in force, or the wait is over.
func (s *session) settle(ctx context.Context, r *messenger.ApplyRequest) error {
	ctx, cancel := context.WithTimeout(ctx, s.wait)
	defer cancel()
	var accepted *messenger.ApplyReply
	// The outcome of an operation that is repeated by hand was unknown before.
	unknown := s.operationID != ""
	for {
		reply, err := tryEach(ctx, s.client, func(ctx context.Context, o messenger.Operator) (*messenger.ApplyReply, error) {
			return o.Apply(ctx, r)
		})
		var f *failure
		switch {
		case errors.As(err, &f):
			unknown = unknown || f.mayHaveRun
			if accepted == nil && !unknown {
				return unreachable(err)
			}
		case err != nil:
			return err
		case reply.Conflict != nil:
			return conflictError(reply.Conflict)
		default:
			s.noteAccepted(accepted, reply)
			accepted = reply
			if reply.InForce {
				s.note("version %d is in force everywhere", reply.Version)
				return nil
			}
		}
		if timer.Sleep(ctx, s.Pause) != nil {
			return s.unsettled(r, accepted, err)
		}
	}
}

// noteAccepted reports a version when it is first known, and who lacks it each time.
func (s *session) noteAccepted(before, now *messenger.ApplyReply) {
	if before == nil {
		for _, w := range now.Warnings {
			s.note("warning: %s", w)
		}
		s.note("version %d is accepted", now.Version)
	}
	if !now.InForce {
		s.note("waiting for %s", orUnknown(now.Missing))
	}
}

// unsettled returns the error after the wait, and tells the operator how to go on; accepted is nil if no instance confirmed the change.
func (s *session) unsettled(r *messenger.ApplyRequest, accepted *messenger.ApplyReply, last error) error {
	if accepted != nil {
		return merry.Appendf(errNotInForce, "version %d lacks a confirmation of %s", accepted.Version, orUnknown(accepted.Missing))
	}
	if r.Kind == string(operator.KindKeyIssue) {
		s.note("the key may exist without a known secret; look with export, then withdraw it")
	} else {
		s.note("the change may be made; to find out, repeat it with --base %d --operation-id %s", r.BaseVersion, r.OperationId)
	}
	return merry.Wrap(errUnreachable, merry.WithCause(last))
}

func orUnknown(missing []string) string {
	if len(missing) == 0 {
		return "unknown instances"
	}
	return strings.Join(missing, ", ")
}

func conflictError(c *messenger.Conflict) error {
	v := &operator.Conflict{Version: c.Version, Operator: c.Operator, Reason: c.Reason}
	if c.UnixMs != 0 {
		v.Time = time.UnixMilli(c.UnixMs)
	}
	return merry.Wrap(errConflict, merry.WithCause(v))
}
