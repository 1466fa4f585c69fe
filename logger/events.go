package logger

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
)

var (
	started            = register(1001, log.InfoLevel, "daemon started")
	leaving            = register(1002, log.InfoLevel, "leaving: no longer named in look-up answers")
	stopped            = register(1003, log.InfoLevel, "daemon stopped")
	listenerFailed     = register(1004, log.ErrorLevel, "listener failed")
	drainCut           = register(1005, log.ErrorLevel, "requests were still running at the end of the longest drain time")
	certRenewed        = register(1006, log.InfoLevel, "certificates renewed")
	certRejected       = register(1007, log.ErrorLevel, "certificate files are not usable; the former certificates stay in use")
	certExpires        = register(1008, log.WarnLevel, "certificate expires soon")
	headsAdopted       = register(2001, log.InfoLevel, "heads adopted")
	configAdopted      = register(2002, log.InfoLevel, "configuration adopted")
	configRejected     = register(2003, log.ErrorLevel, "configuration text does not match its digest or does not parse")
	proofLost          = register(2004, log.WarnLevel, "proof of freshness expired")
	proofRegained      = register(2005, log.InfoLevel, "proof of freshness regained")
	fetchFailed        = register(2006, log.WarnLevel, "fetching heads or configuration failed")
	contentWrong       = register(2007, log.WarnLevel, "fetched chunk or manifest does not match its digest")
	memberChanged      = register(3001, log.InfoLevel, "member state changed")
	assignmentWritten  = register(3002, log.InfoLevel, "assignment written")
	assignmentFailed   = register(3003, log.WarnLevel, "assignment not written")
	targetsChanged     = register(3004, log.InfoLevel, "owned targets changed")
	peerRefused        = register(3005, log.WarnLevel, "peer message refused")
	requestFailed      = register(4001, log.WarnLevel, "request failed after it may have run")
	answerAborted      = register(4002, log.WarnLevel, "answer aborted after its first byte")
	strikeRecorded     = register(4003, log.WarnLevel, "request crashed a target")
	fingerprintBlocked = register(4004, log.ErrorLevel, "request refused because it crashes targets")
	targetState        = register(4005, log.InfoLevel, "target state changed")
	claimNotFinished   = register(4006, log.WarnLevel, "outcome of a claim was not stored")
	requestPanicked    = register(4007, log.ErrorLevel, "request handler panicked")
	fingerprintTried   = register(4008, log.InfoLevel, "permission to run a suspected request alone")
	strikesCleared     = register(4009, log.InfoLevel, "strikes of a request cleared")
	changeAccepted     = register(5001, log.InfoLevel, "change accepted")
	changeConflict     = register(5002, log.WarnLevel, "change refused: another change was first")
	changeFailed       = register(5003, log.WarnLevel, "change not accepted")
	changeInForce      = register(5004, log.InfoLevel, "change in force")
	storeDown          = register(6001, log.WarnLevel, "store does not answer")
	storeUp            = register(6002, log.InfoLevel, "store answers again")
	listDown           = register(6003, log.WarnLevel, "instance list does not answer")
	listUp             = register(6004, log.InfoLevel, "instance list answers again")
	answerLate         = register(2013, log.WarnLevel, "answer of the store did not arrive in time")
	historyLost        = register(2008, log.WarnLevel, "history of a table was dropped; the table is read as a whole")
	peerCopyFailed     = register(2009, log.WarnLevel, "rows could not be had from a peer")
	entryRejected      = register(2010, log.WarnLevel, "row of the store is not usable")
	targetsListed      = register(2011, log.InfoLevel, "targets changed")
	rowsAdopted        = register(2014, log.InfoLevel, "rows of a table adopted")
	tableDiffers       = register(2016, log.WarnLevel, "a peer has other rows of a table at the same version; the table is read whole")
	pollOverdue        = register(2017, log.InfoLevel, "poll of a table ended because the store has a newer version")
	eraAdopted         = register(2018, log.WarnLevel, "store was restored from an older snapshot; the table is taken over in its new era")
	rowRewritten       = register(2019, log.InfoLevel, "own row of the instances was lost and is written again")
	earlierRowKept     = register(2020, log.WarnLevel, "row of an earlier era of the store stays in force")
	earlierRowEnded    = register(2021, log.WarnLevel, "row of an earlier era of the store is not in force any more")
	peerUnserved       = register(2015, log.WarnLevel, "rows could not be sent to a peer")
	evacuated          = register(2012, log.InfoLevel, "evacuated failure domains changed")
	memberHeard        = register(3006, log.InfoLevel, "instance heard")
	memberSilent       = register(3007, log.WarnLevel, "instance fell silent")
	registered         = register(3008, log.InfoLevel, "instance registered in the store")
	registerFailed     = register(3009, log.WarnLevel, "instance could not be registered in the store")
	absenceRecorded    = register(3021, log.WarnLevel, "silent instance recorded as gone")
	presenceLost       = register(3022, log.WarnLevel, "this instance is recorded as gone or its row is missing")
	instancesListed    = register(3010, log.InfoLevel, "listed instances changed")
	datagramRefused    = register(3011, log.WarnLevel, "datagram not sent or not usable")
	datagramsDiscarded = register(3012, log.WarnLevel, "datagrams discarded that waited while this process did not run")
	requestEnded       = register(4101, log.InfoLevel, "request ended")
	attemptFailed      = register(4102, log.InfoLevel, "attempt at a target failed")
	targetSuspected    = register(4103, log.WarnLevel, "target suspected to be gone")
	requestUnhandled   = register(4104, log.InfoLevel, "request answered before any handler")
	admissionDenied    = register(4120, log.WarnLevel, "connection closed or request refused to stay within memory and descriptors")
	abstentionBegan    = register(4105, log.InfoLevel, "target asked for no requests")
	rateStated         = register(4107, log.InfoLevel, "target states another rate of requests")
	abstentionEnded    = register(4106, log.InfoLevel, "target may get requests again, or is gone")
	readyChanged       = register(1009, log.InfoLevel, "readiness changed")
	settingsReloaded   = register(1010, log.InfoLevel, "settings reloaded")
	settingsRejected   = register(1011, log.ErrorLevel, "settings are not usable; the former ones stay in use")
	shiftStepped       = register(7001, log.InfoLevel, "shift advanced a step")
	shiftHeld          = register(7002, log.WarnLevel, "shift held at its step")
)

// Started reports that all listeners are open.
func (l *Logger) Started(callers, peers, operators netip.AddrPort, incarnation uint64) {
	l.emit(started, log.Fields{"callers": callers, "peers": peers, "operators": operators, "incarnation": incarnation})
}

// Leaving reports the start of a graceful shutdown.
func (l *Logger) Leaving(inFlight int) {
	l.emit(leaving, log.Fields{"in_flight": inFlight})
}

// Stopped reports the end of a graceful shutdown.
func (l *Logger) Stopped(d time.Duration) {
	l.emit(stopped, log.Fields{"drain_seconds": seconds(d)})
}

// ListenerFailed reports a listener that ended with an error.
func (l *Logger) ListenerFailed(name string, err error) {
	l.emit(listenerFailed, log.Fields{"listener": name, "error": err.Error()})
}

// DrainCut reports requests that outlived the longest drain time.
func (l *Logger) DrainCut(inFlight int) {
	l.emit(drainCut, log.Fields{"in_flight": inFlight})
}

// CertificatesRenewed reports that new certificate files are in use, and how long until the first of them expires.
func (l *Logger) CertificatesRenewed(left time.Duration) {
	l.emit(certRenewed, log.Fields{"expires_seconds": seconds(left)})
}

// CertificatesRejected reports certificate files that are not taken over.
func (l *Logger) CertificatesRejected(err error) {
	l.emit(certRejected, log.Fields{"error": err.Error()})
}

// CertificateExpires reports how long until the first certificate expires.
func (l *Logger) CertificateExpires(left time.Duration) {
	l.emit(certExpires, log.Fields{"expires_seconds": seconds(left)})
}

// HeadsAdopted reports a newer heads row and where it came from.
func (l *Logger) HeadsAdopted(version uint64, from string) {
	l.emit(headsAdopted, log.Fields{"heads_version": version, "from": from})
}

// ConfigAdopted reports a newer configuration.
func (l *Logger) ConfigAdopted(version uint64, from string) {
	l.emit(configAdopted, log.Fields{"config_version": version, "from": from})
}

// ConfigRejected reports a configuration text that was not adopted.
func (l *Logger) ConfigRejected(version uint64, err error) {
	l.emit(configRejected, log.Fields{"config_version": version, "error": err.Error()})
}

// ProofLost reports that requests that need a proof in this scope are refused from now on.
func (l *Logger) ProofLost(scope string) {
	l.emit(proofLost, log.Fields{"scope": scope})
}

// ProofRegained reports that a proof in this scope is valid again.
func (l *Logger) ProofRegained(scope string, d time.Duration) {
	l.emit(proofRegained, log.Fields{"scope": scope, "lost_seconds": seconds(d)})
}

// FetchFailed reports that newer content could not be fetched; it is tried again.
func (l *Logger) FetchFailed(from string, err error) {
	l.emit(fetchFailed, log.Fields{"from": from, "error": err.Error()})
}

// ContentWrong reports a source of configurations that gave wrong content; another source is used.
func (l *Logger) ContentWrong(from string, err error) {
	l.emit(contentWrong, log.Fields{"from": from, "error": err.Error()})
}

// MemberChanged reports a new state of an instance as seen from here.
func (l *Logger) MemberChanged(name, state string) {
	l.emit(memberChanged, log.Fields{"member": name, "state": state})
}

// AssignmentWritten reports a new assignment that this instance wrote.
func (l *Logger) AssignmentWritten(scope string, epoch uint64, members int) {
	l.emit(assignmentWritten, log.Fields{"scope": scope, "epoch": epoch, "members": members})
}

// AssignmentFailed reports that a new assignment was not written; it is tried again if still needed.
func (l *Logger) AssignmentFailed(scope string, err error) {
	l.emit(assignmentFailed, log.Fields{"scope": scope, "error": err.Error()})
}

// TargetsChanged reports how many targets this instance owns after an assignment.
func (l *Logger) TargetsChanged(owned int) {
	l.emit(targetsChanged, log.Fields{"owned": owned})
}

// PeerRefused reports a peer message that was not accepted.
func (l *Logger) PeerRefused(reason string) {
	l.emit(peerRefused, log.Fields{"reason": reason})
}

// RequestFailed reports a request whose outcome is unknown.
func (l *Logger) RequestFailed(route, target string, err error) {
	l.emit(requestFailed, log.Fields{"route": route, "target": target, "error": err.Error()})
}

// AnswerAborted reports that the caller's connection was closed so that a partial answer is not taken for a whole one.
func (l *Logger) AnswerAborted(route string, err error) {
	l.emit(answerAborted, log.Fields{"route": route, "error": err.Error()})
}

// StrikeRecorded reports a request after which its target refused connections.
func (l *Logger) StrikeRecorded(account, route, target string) {
	l.emit(strikeRecorded, log.Fields{"account": account, "route": route, "target": target})
}

// FingerprintBlocked reports a refused repeat of a request that crashed targets, and when it may be sent again.
func (l *Logger) FingerprintBlocked(account, route string, retryAfter time.Duration) {
	l.emit(fingerprintBlocked, log.Fields{"account": account, "route": route, "retry_after_ms": retryAfter.Milliseconds()})
}

// FingerprintTried reports whether a request may run alone that targets had when they crashed.
func (l *Logger) FingerprintTried(id, account, route string, allowed bool) {
	l.emit(fingerprintTried, log.Fields{"id": id, "account": account, "route": route, "allowed": allowed})
}

// StrikesCleared reports that a target answered a request, so that earlier crashes do not count against it any more.
func (l *Logger) StrikesCleared(id, account, route string, strikes int) {
	l.emit(strikesCleared, log.Fields{"id": id, "account": account, "route": route, "strikes": strikes})
}

// TargetState reports a change of a target's health state.
func (l *Logger) TargetState(target, state string) {
	l.emit(targetState, log.Fields{"target": target, "state": state})
}

// ClaimNotFinished reports that a resend will be answered with outcome_unknown although the request ended.
func (l *Logger) ClaimNotFinished(route string, err error) {
	l.emit(claimNotFinished, log.Fields{"route": route, "error": err.Error()})
}

// RequestPanicked reports a fault of the program.
func (l *Logger) RequestPanicked(method, cause string) {
	l.emit(requestPanicked, log.Fields{"method": method, "cause": cause})
}

// ChangeAccepted reports a committed configuration change.
func (l *Logger) ChangeAccepted(version uint64, operator, kind string) {
	l.emit(changeAccepted, log.Fields{"config_version": version, "operator": operator, "kind": kind})
}

// ChangeConflict reports a change that lost to another one.
func (l *Logger) ChangeConflict(operator string, version uint64) {
	l.emit(changeConflict, log.Fields{"operator": operator, "config_version": version})
}

// ChangeFailed reports a change that was not accepted, or whose effect is unknown until it is repeated.
func (l *Logger) ChangeFailed(operator string, err error) {
	l.emit(changeFailed, log.Fields{"operator": operator, "error": err.Error()})
}

// ChangeInForce reports how long a change took to be in force, and how many instances did not confirm it.
func (l *Logger) ChangeInForce(version uint64, d time.Duration, missing int) {
	l.emit(changeInForce, log.Fields{"config_version": version, "seconds": seconds(d), "missing": missing})
}

// StoreDown reports the first failed read after a success.
func (l *Logger) StoreDown(err error) {
	l.emit(storeDown, log.Fields{"error": err.Error()})
}

// StoreUp reports the first successful read after failures.
func (l *Logger) StoreUp(d time.Duration) {
	l.emit(storeUp, log.Fields{"down_seconds": seconds(d)})
}

// ListDown reports the first failed reading of the instance list after a success.
func (l *Logger) ListDown(err error) {
	l.emit(listDown, log.Fields{"error": err.Error()})
}

// ListUp reports the first successful reading of the instance list after failures.
func (l *Logger) ListUp(d time.Duration) {
	l.emit(listUp, log.Fields{"down_seconds": seconds(d)})
}

// ShiftStepped reports a step of a shift that this instance wrote.
func (l *Logger) ShiftStepped(name string, step int) {
	l.emit(shiftStepped, log.Fields{"shift": name, "step": step})
}

// ShiftHeld reports why a shift does not advance.
func (l *Logger) ShiftHeld(name, reason string) {
	l.emit(shiftHeld, log.Fields{"shift": name, "reason": reason})
}

// AnswerLate reports that the store's answer for a table, whole or with the changes after a version, did not arrive in time, d after
// the call.
func (l *Logger) AnswerLate(table string, whole bool, after uint64, d time.Duration, err error) {
	l.emit(answerLate, log.Fields{"table": table, "whole": whole, "after": after, "seconds": seconds(d), "error": err.Error()})
}

// PollOverdue reports a poll of a table after a version that was silent although another table told of a newer one.
func (l *Logger) PollOverdue(table string, after, newest uint64) {
	l.emit(pollOverdue, log.Fields{"table": table, "after": after, "newest": newest})
}

// HistoryLost reports that the store dropped the history that a copy follows.
func (l *Logger) HistoryLost(table string) {
	l.emit(historyLost, log.Fields{"table": table})
}

// RowsAdopted reports a change of the copy of a table: its version, how many of its rows changed and how many exist, and the
// peer that they came from, which is empty for the store.
func (l *Logger) RowsAdopted(table, peer string, version uint64, whole bool, changed, rows int) {
	l.emit(rowsAdopted, log.Fields{"table": table, "peer": peer, "version": version, "whole": whole, "changed": changed, "rows": rows})
}

// EraAdopted reports that the copy of a table went to a later era of the store: how many of its rows the store lost, and how many
// of those stay in force.
func (l *Logger) EraAdopted(table string, from, to uint64, lost, kept int) {
	l.emit(eraAdopted, log.Fields{"table": table, "from": from, "to": to, "lost": lost, "kept": kept})
}

// EarlierRow is a row of an earlier era of the store.
type EarlierRow struct {
	Table, Key string
	// Era and Version are those of the row; Removed is true if it is a removal.
	Era, Version uint64
	Removed      bool
	// Present is the version of the store's row or removal of the key, or 0, and Ceiling the version above which the store's rows are known
	// to be written in the present era.
	Present, Ceiling uint64
	// Ended tells why the row is not in force any more, or is empty.
	Ended string
}

// EarlierRow reports that a row of an earlier era stays in force, or why it does not any more.
func (l *Logger) EarlierRow(r EarlierRow) {
	f := log.Fields{
		"table": r.Table, "key": r.Key, "era": r.Era, "version": r.Version, "removed": r.Removed, "present": r.Present, "ceiling": r.Ceiling,
	}
	if r.Ended == "" {
		l.emit(earlierRowKept, f)
		return
	}
	f["reason"] = r.Ended
	l.emit(earlierRowEnded, f)
}

// RowRewritten reports that this instance wrote its own row again in an era.
func (l *Logger) RowRewritten(table string, era uint64) {
	l.emit(rowRewritten, log.Fields{"table": table, "era": era})
}

// TableDiffers reports that a peer has other rows of a table at the same version.
func (l *Logger) TableDiffers(table, peer string, version uint64) {
	l.emit(tableDiffers, log.Fields{"table": table, "peer": peer, "version": version})
}

// PeerCopyFailed reports that a peer gave no rows, d after it was asked.
func (l *Logger) PeerCopyFailed(table, peer string, d time.Duration, err error) {
	l.emit(peerCopyFailed, log.Fields{"table": table, "peer": peer, "seconds": seconds(d), "error": err.Error()})
}

// PeerUnserved reports that a peer could not be sent the rows that it asked for.
func (l *Logger) PeerUnserved(table string, version uint64, err error) {
	l.emit(peerUnserved, log.Fields{"table": table, "version": version, "error": err.Error()})
}

// EntryRejected reports a row that names nothing that can be used.
func (l *Logger) EntryRejected(table, key string, version uint64, err error) {
	l.emit(entryRejected, log.Fields{"table": table, "key": key, "version": version, "error": err.Error()})
}

// maxNames bounds the names in one line.
const maxNames = 32

// TargetsListed reports the targets of the newest rows: how many there are, how many of them leave or are cold, and the names of
// those that get no further requests since the last line, as many as a line takes.
func (l *Logger) TargetsListed(targets, leaving, cold int, left []string) {
	l.emit(targetsListed, log.Fields{"targets": targets, "leaving": leaving, "cold": cold, "left": left[:min(len(left), maxNames)], "left_count": len(left)})
}

// Evacuated reports the failure domains whose targets get nothing.
func (l *Logger) Evacuated(domains []string) {
	l.emit(evacuated, log.Fields{"failure_domains": domains})
}

// DatagramsDiscarded reports datagrams of other instances that waited while this process did not run.
func (l *Logger) DatagramsDiscarded(datagrams int, took time.Duration) {
	l.emit(datagramsDiscarded, log.Fields{"datagrams": datagrams, "seconds": took.Seconds()})
}

// MemberHeard reports a new instance, a restart, a return or a change of readiness.
func (l *Logger) MemberHeard(name string, a netip.Addr, ready bool) {
	l.emit(memberHeard, log.Fields{"member": name, "address": a, "ready": ready})
}

// MemberSilent reports an instance of which nothing was heard for some time.
func (l *Logger) MemberSilent(name string, a netip.Addr) {
	l.emit(memberSilent, log.Fields{"member": name, "address": a})
}

// Registered reports that the store's list of instances names this one.
func (l *Logger) Registered() {
	l.emit(registered, nil)
}

// RegisterFailed reports a failed write to the list of instances; it is tried again.
func (l *Logger) RegisterFailed(err error) {
	l.emit(registerFailed, log.Fields{"error": err.Error()})
}

// AbsenceRecorded reports a silent instance that others count as gone from now on.
func (l *Logger) AbsenceRecorded(name string) {
	l.emit(absenceRecorded, log.Fields{"instance": name})
}

// PresenceLost reports that this instance registers again. There is true if its row records it as gone, and false if the row is
// missing.
func (l *Logger) PresenceLost(there bool) {
	l.emit(presenceLost, log.Fields{"listed": there})
}

// InstancesListed reports how many instances share the limits of the fleet.
func (l *Logger) InstancesListed(n int) {
	l.emit(instancesListed, log.Fields{"instances": n})
}

// Ended is what a request's last line tells.
type Ended struct {
	ID, Route, Account, Object string
	ConfigVersion              uint64
	// Target had the request last; empty if none had it.
	Target string
	// Attempts is the number of targets that had it.
	Attempts int
	// Status is that of the answer; 0 if the caller's connection was closed.
	Status int
	// Reason and Ran are those of a refusal; empty for a target's answer.
	Reason, Ran string
	// Signed is true if a target's answer has the target's signature.
	Signed bool
	// Dropped is why the turn of a pipelined request never came, so that its caller got no answer; empty if it came.
	Dropped string
	// RetryAfter is what the caller of a refused request was told to wait.
	RetryAfter time.Duration
	// Rate and Burst are the account's allowance; told with a refusal for it.
	Rate, Burst float64
	// Wait and Run are the estimates by which the last target was chosen.
	Wait, Run time.Duration
	// Known is true if the target was taken to know the object.
	Known    bool
	Left     time.Duration
	Duration time.Duration
}

// RequestEnded reports the end of a request and the inputs that decided it.
func (l *Logger) RequestEnded(e Ended) {
	f := log.Fields{
		"request_id":     e.ID,
		"route":          e.Route,
		"account":        e.Account,
		"object":         e.Object,
		"config_version": e.ConfigVersion,
		"attempts":       e.Attempts,
		"status":         e.Status,
		"seconds":        seconds(e.Duration),
		"left_seconds":   seconds(e.Left),
	}
	if e.Target != "" {
		f["target"], f["wait_seconds"], f["run_seconds"], f["known"] = e.Target, seconds(e.Wait), seconds(e.Run), e.Known
	}
	if e.Reason == "" && e.Status >= http.StatusMultipleChoices {
		f["signed"] = e.Signed
	}
	if e.Reason != "" {
		f["reason"], f["ran"], f["retry_after_seconds"] = e.Reason, e.Ran, seconds(e.RetryAfter)
	}
	if e.Dropped != "" {
		f["dropped"] = e.Dropped
	}
	if e.Rate > 0 {
		f["rate"], f["burst"] = e.Rate, e.Burst
	}
	l.emit(requestEnded, f)
}

// AttemptFailed reports an attempt at a target that gave no answer for the caller.
func (l *Logger) AttemptFailed(id, target string, d time.Duration, err error) {
	l.emit(attemptFailed, log.Fields{"request_id": id, "target": target, "seconds": seconds(d), "error": err.Error()})
}

// ReadyChanged reports whether callers are sent to this instance.
func (l *Logger) ReadyChanged(ready bool, reason string) {
	l.emit(readyChanged, log.Fields{"ready": ready, "reason": reason})
}

// SettingsReloaded reports settings that were read again.
func (l *Logger) SettingsReloaded(changed bool) {
	l.emit(settingsReloaded, log.Fields{"changed": changed})
}

// SettingsRejected reports settings that were read again and not taken over.
func (l *Logger) SettingsRejected(err error) {
	l.emit(settingsRejected, log.Fields{"error": err.Error()})
}

// DatagramRefused reports a datagram that could not be sent or was not usable, and how many others were not logged since
// the last line.
func (l *Logger) DatagramRefused(peer string, err error, unlogged int) {
	l.emit(datagramRefused, log.Fields{"peer": peer, "error": err.Error(), "unlogged": unlogged})
}

// TargetSuspected reports a target that answered nothing since a request began, for longer than requests usually take.
func (l *Logger) TargetSuspected(id, target string, d time.Duration) {
	l.emit(targetSuspected, log.Fields{"request_id": id, "target": target, "seconds": seconds(d)})
}

// AbstentionBegan reports that an answer of a target asked for no requests, because it leaves or rests. D is how long it rests,
// or 0; request is the one that it answered.
func (l *Logger) AbstentionBegan(target string, incarnation int64, kind string, d time.Duration, request string, status int) {
	l.emit(abstentionBegan, log.Fields{
		"target": target, "incarnation": incarnation, "kind": kind, "rest_seconds": seconds(d), "request_id": request, "status": status,
	})
}

// RateStated reports that an answer states another rate than a target's former one; 0 means no limit.
func (l *Logger) RateStated(target string, incarnation int64, rate float64, request string, status int) {
	l.emit(rateStated, log.Fields{"target": target, "incarnation": incarnation, "rate": rate, "request_id": request, "status": status})
}

// AbstentionEnded reports, after d, the end of a rest, or that a target that left is gone.
func (l *Logger) AbstentionEnded(target string, incarnation int64, kind string, d time.Duration) {
	l.emit(abstentionEnded, log.Fields{"target": target, "incarnation": incarnation, "kind": kind, "seconds": seconds(d)})
}

// AdmissionDenied reports a connection that was closed, or a request that was refused without having run, to stay within the
// budgets of a listener; bytes is the most that it held, and unlogged how many others there were since the last line.
func (l *Logger) AdmissionDenied(listener, reason string, remote netip.AddrPort, bytes int64, unlogged int) {
	l.emit(admissionDenied, log.Fields{"listener": listener, "reason": reason, "remote": remote.String(), "bytes": bytes, "unlogged": unlogged})
}

// RequestUnhandled reports an answer that net/http gave by itself. Answer is the status line, requests the number of
// earlier requests on the connection, and bytes what was read from it.
func (l *Logger) RequestUnhandled(status int, answer, remote string, requests, bytes int64) {
	l.emit(requestUnhandled, log.Fields{"status": status, "answer": answer, "remote": remote, "requests": requests, "bytes_read": bytes})
}
