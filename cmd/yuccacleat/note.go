package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

// partLimit leaves room under the megabyte that the platform's values may have.
const partLimit = yuccaid.Bytes(900_000)

func noteCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "note",
		Short: "Check release notes and what they lead to, without publishing anything",
	}
	command.AddCommand(noteCheckCommand(), noteDiffCommand(), noteBaselineCommand())
	return command
}

func noteCheckCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "check NOTE...",
		Short: "Apply release notes in order, as every daemon would, and say what comes out",
		Long: `check applies the notes to the empty configuration, in the order given, exactly as a
daemon does. The digest printed last is the base that the next note has to name.`,
		Example: "  yuccacleat note check 0001.yaml 0002.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			state, err := fold(args)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(command.OutOrStdout(), summary{Number: state.Number, Digest: state.Digest()})
			}
			fmt.Fprintf(command.OutOrStdout(), "accepted up to number %d\nbase of the next note: %s\n", state.Number, state.Digest())
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// summary is what `note check --json` prints.
type summary struct {
	Number yuccaid.ConfigNumber `json:"number"`
	Digest yuccaid.Digest       `json:"digest"`
}

func noteDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff NOTE... LAST",
		Short:   "Show what the last of several release notes changes",
		Example: "  yuccacleat note diff 0001.yaml 0002.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			before, err := fold(args[:len(args)-1])
			if err != nil {
				return err
			}
			after, err := apply(before, args[len(args)-1])
			if err != nil {
				return err
			}
			fmt.Fprint(command.OutOrStdout(), yuccastate.Diff(before, after))
			return nil
		},
	}
}

// publishedPart is one line of a baseline: a key to publish and its value.
type publishedPart struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

func noteBaselineCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "baseline NOTE...",
		Short: "Print the configuration after the notes in parts to publish",
		Long: `baseline prints one JSON line for each part, with the key to publish it under and
the value in base64. New daemons can then start from the baseline and the notes after it.`,
		Example: "  yuccacleat note baseline 0001.yaml 0002.yaml > baseline.jsonl",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			state, err := fold(args)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(command.OutOrStdout())
			for _, part := range yuccastate.EncodeBaseline(state, partLimit) {
				line := publishedPart{Key: part.Key(), Value: part.Value}
				if err := encoder.Encode(line); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func fold(paths []string) (*yuccastate.State, error) {
	state := yuccastate.Empty()
	for _, path := range paths {
		next, err := apply(state, path)
		if err != nil {
			return nil, err
		}
		state = next
	}
	return state, nil
}

func apply(state *yuccastate.State, path string) (*yuccastate.State, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &invalidError{cause: err}
	}
	note, err := yuccastate.ParseNote(raw)
	if err != nil {
		return nil, &invalidError{cause: fmt.Errorf("%s: %w", path, err)}
	}
	next, err := state.Apply(note)
	if err != nil {
		return nil, &invalidError{cause: fmt.Errorf("%s: %w", path, err)}
	}
	return next, nil
}
