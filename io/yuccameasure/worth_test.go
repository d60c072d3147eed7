package yuccameasure_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"yuccacleat/io/yuccameasure"
)

// reports writes reports of days as the bench does, by name.
func reports(t *testing.T, worths map[string]float64) []string {
	t.Helper()
	dir := t.TempDir()
	var paths []string
	for name, worth := range worths {
		path := filepath.Join(dir, name)
		raw := fmt.Sprintf(`{"G": %v, "served": 0.9, "refused": 0.05, "failed": 0.01, "prices": [["x", 1, 2]]}`, worth)
		if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	return paths
}

func TestWorthIsTheMeanOfTheTriesAtEachLoad(t *testing.T) {
	points, err := yuccameasure.ReadWorth(reports(t, map[string]float64{
		"pecos@2@1.json": 0.7, "pecos@0.5@1.json": 0.9, "pecos@0.5@2.json": 0.8, "rally@1@1.json": 0.95,
	}))
	if err != nil {
		t.Fatal(err)
	}
	var out, lines bytes.Buffer
	if err := yuccameasure.WriteWorth(points, &out, &lines); err != nil {
		t.Fatal(err)
	}
	want := "worth against load\n" +
		"  series  load  tries  worth  served  refused  failed\n" +
		"   pecos  0.50      2  0.850   0.900    0.050   0.010\n" +
		"   pecos  2.00      1  0.700   0.900    0.050   0.010\n" +
		"   rally  1.00      1  0.950   0.900    0.050   0.010\n\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
	if got := bytes.Count(lines.Bytes(), []byte(`"series":"pecos"`)); got != 2 {
		t.Errorf("%d lines of pecos: %s", got, lines.String())
	}
	svg, err := yuccameasure.DrawWorth(points)
	if err != nil {
		t.Fatal(err)
	}
	if err := xml.Unmarshal(svg, new(struct{})); err != nil || !bytes.Contains(svg, []byte("rally")) {
		t.Errorf("no plot of both series: %v", err)
	}
}

func TestWorthNamesTheRemedy(t *testing.T) {
	for name, raw := range map[string]string{"pecos-1.json": "{}", "pecos@1@1.json": "not a report"} {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := yuccameasure.ReadWorth([]string{path})
		var misnamed *yuccameasure.ReportNameError
		if err == nil || errors.As(err, &misnamed) != (name == "pecos-1.json") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
