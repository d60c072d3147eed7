package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"yuccacleat/core/yuccatrial"
)

// trialFlags choose what is compared.
type trialFlags struct {
	deployment string
	scenario   string
	seed       uint64
}

func trialCommand() *cobra.Command {
	var flags trialFlags
	command := &cobra.Command{
		Use:   "trial --deployment NAME [--scenario WORD] [--seed N]",
		Short: "Compare the placing of requests with simpler policies, in virtual time",
		Long: `trial runs the same seeded workload under round robin, least outstanding, power of two
choices, daemons without a leader, and this program's leaders, beside a bound that knows
all lengths, speeds and the future. The columns are explained in docs/MEASUREMENTS.md.`,
		Example: "  yuccacleat trial --deployment hotline --scenario burst",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			results, err := trial(flags)
			if err != nil {
				return err
			}
			fmt.Fprint(command.OutOrStdout(), yuccatrial.Table(results), yuccatrial.Losses(results, 0))
			return nil
		},
	}
	set := command.Flags()
	set.StringVar(&flags.deployment, "deployment", "hotline", "hotline, desk or aimed")
	set.StringVar(&flags.scenario, "scenario", "", "only scenarios whose name holds this word")
	set.Uint64Var(&flags.seed, "seed", 1, "the workload's seed")
	return command
}

func trial(flags trialFlags) ([]yuccatrial.Result, error) {
	var results []yuccatrial.Result
	for _, deployment := range yuccatrial.Deployments() {
		if deployment.Name != flags.deployment {
			continue
		}
		for _, scenario := range yuccatrial.Scenarios(deployment, 0) {
			if strings.Contains(scenario.Name, flags.scenario) {
				results = append(results, yuccatrial.Compare(flags.seed, scenario)...)
			}
		}
	}
	if len(results) == 0 {
		return nil, &invalidError{cause: fmt.Errorf("no scenario %q of deployment %q: choose hotline, desk or aimed and a word of a scenario's name", flags.scenario, flags.deployment)}
	}
	return results, nil
}
