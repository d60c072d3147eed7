package main

import (
	"time"

	"github.com/spf13/cobra"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccameasure"
)

func membersCommand(flags *common) *cobra.Command {
	var plan yuccameasure.MembersPlan
	var answer int64
	var decode float64
	cmd := measureCommand("members", "Measure control traffic, processor time and memory against the number of daemons",
		"  yuccameasure members --sizes 3,7,14")
	cmd.Flags().IntVar(&plan.Centres, "centres", 1, "data centres")
	cmd.Flags().IntSliceVar(&plan.Sizes, "sizes", []int{3, 7, 14, 28, 56}, "daemons of each data centre, one fleet after the other")
	cmd.Flags().DurationVar(&plan.Quiet, "quiet", 20*time.Second, "time without requests")
	cmd.Flags().DurationVar(&plan.Load, "load", 10*time.Second, "time with requests")
	cmd.Flags().Float64Var(&plan.Rate, "rate", 3, "requests a second for each daemon")
	cmd.Flags().Int64Var(&answer, "answer", 32, "tokens of an answer")
	cmd.Flags().Float64Var(&decode, "decode", 400, "tokens per second of each answer")
	cmd.PreRun = func(*cobra.Command, []string) {
		plan.Answer, plan.Decode = yuccaid.Tokens(answer), yuccaid.TokenRate(decode)
	}
	cmd.RunE = measuring(flags, &plan, yuccameasure.Members)
	return cmd
}

func relayCommand(flags *common) *cobra.Command {
	var plan yuccameasure.RelayPlan
	var answer, tokens int64
	cmd := measureCommand("relay", "Measure added time, processor time for relayed tokens and memory with streams open",
		"  yuccameasure relay --requests 100")
	cmd.Flags().IntVar(&plan.Requests, "requests", 400, "requests timed on each way")
	cmd.Flags().Int64Var(&answer, "answer", 64, "tokens of a timed answer")
	cmd.Flags().IntSliceVar(&plan.Streams, "streams", []int{0, 125, 250, 375, 500}, "streams held open at once")
	cmd.Flags().IntVar(&plan.Busy, "busy", 32, "streams at once for the processor time")
	cmd.Flags().Int64Var(&tokens, "tokens", 64_000, "tokens relayed for each length of answer")
	cmd.PreRun = func(*cobra.Command, []string) {
		plan.Answer, plan.Tokens = yuccaid.Tokens(answer), yuccaid.Tokens(tokens)
	}
	cmd.RunE = measuring(flags, &plan, yuccameasure.Relay)
	return cmd
}

func pollsCommand(flags *common) *cobra.Command {
	var plan yuccameasure.PollsPlan
	cmd := measureCommand("polls", "Measure a pool leader's processor time against the targets that it reads",
		"  yuccameasure polls --targets 1,8")
	cmd.Flags().IntSliceVar(&plan.Targets, "targets", []int{1, 8, 32, 64, 128}, "targets of the pool, one fleet after the other")
	cmd.Flags().DurationVar(&plan.Quiet, "quiet", 15*time.Second, "time without requests")
	cmd.RunE = measuring(flags, &plan, yuccameasure.Polls)
	return cmd
}

func configCommand(flags *common) *cobra.Command {
	var plan yuccameasure.ConfigPlan
	cmd := measureCommand("config", "Measure how fast release notes take hold and what daemons read of the platform",
		"  yuccameasure config --sizes 7 --notes 20")
	cmd.Flags().IntSliceVar(&plan.Sizes, "sizes", []int{7, 28}, "daemons, one fleet after the other")
	cmd.Flags().IntVar(&plan.Notes, "notes", 100, "release notes published one by one")
	cmd.Flags().DurationVar(&plan.Quiet, "quiet", 70*time.Second, "time without notes; watches last up to a minute")
	cmd.Flags().DurationVar(&plan.Outage, "outage", 20*time.Second, "time that the platform's service is away")
	cmd.RunE = measuring(flags, &plan, yuccameasure.Config)
	return cmd
}

func fullCommand(flags *common) *cobra.Command {
	var plan yuccameasure.FullPlan
	cmd := measureCommand("full", "Measure a fleet whose configuration has the aimed size, and daemons that join it",
		"  yuccameasure full --daemons 3 --notes 5")
	cmd.Flags().IntVar(&plan.Daemons, "daemons", 7, "daemons of the fleet")
	cmd.Flags().IntVar(&plan.Notes, "notes", 10, "release notes published one by one")
	cmd.Flags().IntVar(&plan.Newcomers, "newcomers", 3, "daemons that join, one after the other")
	cmd.RunE = measuring(flags, &plan, yuccameasure.Full)
	return cmd
}
