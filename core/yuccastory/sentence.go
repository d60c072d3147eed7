package yuccastory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// commonFields are the fields that every line has and that no sentence repeats.
var commonFields = map[string]bool{"at": true, "vm": true, "event": true, "request": true, "level": true, "account": true, "route": true}

// sentence returns one line in words. A line of an unknown event is returned with its fields.
func sentence(line *Line) string {
	switch line.Event {
	case "sent":
		text := fmt.Sprintf("sent to %s (attempt %s) after %s ms; %s expected the first event in %s ms, %s runs were on that target",
			line.text("target"), line.text("send"), line.text("waitedMillis"), decider(line), line.text("expectMillis"), line.text("busy"))
		text += heldParts(line) + softwareVersion(line)
		return text + fmt.Sprintf("; configuration %s, last response of the platform %s ms ago", line.text("number"), line.text("newsAgeMillis"))
	case "declined":
		return fmt.Sprintf("leader %s chose %s, which it may not use (%s)",
			line.text("leader"), line.text("target"), exclusion(line.text("why"), line))
	case "regions":
		return fmt.Sprintf("configuration %s came while it waited: it may be served in %s now, before in %s",
			line.text("number"), line.text("now"), line.text("before"))
	case "unanswered":
		return fmt.Sprintf("%s gave no answer (attempt %s): %s", line.text("target"), line.text("send"), line.text("error"))
	case "again":
		return fmt.Sprintf("after the outcome %s it %s be sent again (%s; attempts: %s, runs: %s%s)",
			line.text("outcome"), may(line), line.text("why"), line.text("sends"), line.text("runs"), resendBudget(line))
	case "silent":
		return fmt.Sprintf("its target showed nothing for too long, and it %s be sent again%s", may(line), resendBudget(line))
	case "kept waiting":
		return fmt.Sprintf("no other target was to be had (%s: %s), so it stayed at its silent target", line.text("kind"), line.text("detail"))
	case "silence ended":
		return silenceEnded(line)
	case "trial":
		return fmt.Sprintf("sent to one target only, to try again what was held back: %s", line.text("traits"))
	case "quota":
		return quota(line)
	case "answered":
		text := fmt.Sprintf("%s answered %s: %s, first event after %s ms, %s events, longest pause %s ms",
			line.text("target"), line.text("status"), line.text("outcome"), line.text("firstMillis"), line.text("events"), line.text("pauseMillis"))
		text += unfinishedEvent(line)
		if cause := line.text("cause"); cause != "" {
			text += "; " + cause
		}
		return text
	case "refused":
		return refused(line)
	case "belief", "dependency":
		return strings.TrimSpace(line.text("what")+" "+line.text("state")) + fields(line, "what", "state")
	}
	return line.Event + fields(line)
}

// silenceEnded tells how the silence of a target ended.
func silenceEnded(line *Line) string {
	if line.text("replaced") == "true" {
		return fmt.Sprintf("%s was replaced %s ms after it had been sent the request", line.text("target"), line.text("sinceSentMillis"))
	}
	return fmt.Sprintf("%s went on or failed %s ms after it had been sent the request", line.text("target"), line.text("sinceSentMillis"))
}

// may tells whether a request may be sent again.
func may(line *Line) string {
	if line.text("may") == "true" {
		return "may"
	}
	return "may not"
}

// resendBudget tells how much of its part of the budget of resends the daemon had used. It returns an
// empty text for a line that doesn't state it.
func resendBudget(line *Line) string {
	if line.text("limit") == "" {
		return ""
	}
	return fmt.Sprintf("; %s resends counted here, the limit was %s, with a share of %s of the allowance, %s daemons known", line.text("resent"), line.text("limit"), line.text("share"), line.text("among"))
}

// decider names the daemon that chose the target.
func decider(line *Line) string {
	if line.text("alone") == "true" {
		return "this daemon alone"
	}
	return "leader " + line.text("leader")
}

// heldParts tells how much of the prompt the target was expected to hold, or to fetch from another one.
func heldParts(line *Line) string {
	if line.number("parts") == 0 {
		return ""
	}
	text := fmt.Sprintf("; it was expected to hold %s of %s prompt tokens", line.text("held"), line.text("prompt"))
	if from := line.text("fetchFrom"); from != "" {
		text += ", and to fetch more from " + from
	}
	return text
}

// unfinishedEvent tells that a stream ended inside an event, and how its end was stated.
func unfinishedEvent(line *Line) string {
	if line.number("unfinishedBytes") == 0 {
		return ""
	}
	return fmt.Sprintf("; it ended after %s bytes of an unfinished event (framing: %s)", line.text("unfinishedBytes"), line.text("framing"))
}

// quota explains a refusal by the quota of the request's account.
func quota(line *Line) string {
	leader := accountLeader(line)
	decidedBy, where := "", "here"
	if leader != "" {
		decidedBy, where = " (decided by "+leader+")", "there"
	}
	text := fmt.Sprintf("the quota of account %s%s: %s; the request costs %s, %s of %s were used, %s of them %s",
		line.text("account"), decidedBy, line.text("verdict"), line.text("cost"), line.text("used"), line.text("limit"), line.text("mine"), where)
	if line.number("rush") > 0 {
		text += fmt.Sprintf("; since all usage was lost the account has requested %s, and an account within its quota would have requested %s at most", line.text("asked"), line.text("rush"))
	}
	if leader != "" {
		return text
	}
	return text + fmt.Sprintf("; this daemon's share of the quotas is %s, among %s daemons", line.text("part"), line.text("daemons"))
}

// accountLeader returns the daemon that decided on the account's quota, empty if it was this one.
func accountLeader(line *Line) string {
	if leader := line.text("leader"); leader != line.VM {
		return leader
	}
	return ""
}

// refused explains an answer of the daemon itself.
func refused(line *Line) string {
	text := fmt.Sprintf("the daemon itself answered %s: %s", line.text("status"), line.text("kind"))
	if detail := line.text("detail"); detail != "" {
		text += " (" + detail + ")"
	}
	if line.text("leader") != "" {
		text += fmt.Sprintf("; leader %s had %s requests waiting and %s free slots, the wait would have been %s ms",
			line.text("leader"), line.text("waiting"), line.text("free"), line.text("waitMillis"))
	}
	text += excludedTargets(line)
	if back := line.number("backMillis"); back > 0 {
		text += fmt.Sprintf("; to be retried after %d ms", back)
	}
	return text
}

// exclusions are the reasons why a request may not use a target, in words.
var exclusions = map[string]string{
	"unregistered": "it isn't registered",
	"leaving":      "it is leaving",
	"evacuated":    "its data centre is evacuated",
	"region":       "its region",
	"version":      "the version of its software",
	"failedBefore": "it failed there before",
}

// exclusion tells why a request may not use a target.
func exclusion(why string, line *Line) string {
	words, known := exclusions[why]
	if !known {
		return why
	}
	if why == "region" {
		words += "; it may be served in " + line.text("regions")
	}
	return words
}

// excludedTargets tells where a refused request may be served, and how many targets it may not use for which
// reason. It returns an empty text for a line that doesn't state it.
func excludedTargets(line *Line) string {
	text := ""
	if regions := line.text("regions"); regions != "" && regions != "any" {
		text += "; it may be served in " + regions
	}
	excluded := line.text("excluded")
	if excluded == "" {
		return text
	}
	var list []string
	for each := range strings.SplitSeq(excluded, ", ") {
		why, count, _ := strings.Cut(each, " ")
		if words, known := exclusions[why]; known {
			why = words
		}
		list = append(list, count+" ("+why+")")
	}
	return text + "; targets that it may not use: " + strings.Join(list, ", ")
}

// fields lists the fields of a line, without the common ones and those with the given names.
func fields(line *Line, without ...string) string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if !commonFields[name] && !slices.Contains(without, name) {
			fmt.Fprintf(&out, " %s=%s", name, line.text(name))
		}
	}
	return out.String()
}

// outcome returns in a few words how the request ended, by the last line about its end.
func outcome(lines []Line) string {
	for _, line := range slices.Backward(lines) {
		switch line.Event {
		case "answered":
			return answeredOutcome(&line)
		case "refused":
			return refusedOutcome(line.text("status"))
		}
	}
	return "not in the logs: the daemon ended, or its last lines are missing"
}

func answeredOutcome(line *Line) string {
	switch line.text("outcome") {
	case "served":
		return "its caller received the target's whole answer, status " + line.text("status")
	case "dropped":
		return "its caller left before the end"
	case "broken":
		return "its caller received a part of the answer and a closed connection"
	}
	return "its caller received the target's own failure, status " + line.text("status")
}

func refusedOutcome(status string) string {
	switch status {
	case "429", "503", "408", "421":
		return "it did not run and will not run, and its caller was told so"
	case "502", "504":
		return "it may have run, and its caller was told no more than that"
	}
	return "it was not allowed, and did not run"
}

// softwareVersion returns the version of the target's software and, for a request that takes a stream up,
// which attempt began the stream. It returns an empty text for a line that states neither.
func softwareVersion(line *Line) string {
	text := ""
	if version := line.text("version"); version != "" {
		text += "; its software is " + version
	}
	if from := line.text("from"); from != "" {
		text += fmt.Sprintf("; continues the stream of %q after event %s", line.text("resumes"), from)
	}
	return text
}
