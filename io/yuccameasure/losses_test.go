package yuccameasure_test

import (
	"bytes"
	"encoding/xml"
	"math"
	"os"
	"path/filepath"
	"testing"

	"yuccacleat/io/yuccameasure"
)

const lossesReport = `{
"all": {"name": "all", "n": 400, "in_aim": 240, "late": 60, "refused": 60, "failed": 20, "not_owed": 20, "worth": 0.7},
"classes": [
  {"name": "note", "n": 220, "in_aim": 100, "late": 40, "refused": 40, "failed": 20, "not_owed": 20, "worth": 0.6},
  {"name": "ticket", "n": 180, "in_aim": 140, "late": 20, "refused": 20, "failed": 0, "not_owed": 0, "worth": 0.95}],
"windows": [
  {"name": "0", "n": 200, "in_aim": 180, "late": 20, "refused": 0, "failed": 0, "not_owed": 0, "worth": 0.95},
  {"name": "2", "n": 200, "in_aim": 60, "late": 40, "refused": 60, "failed": 20, "not_owed": 20, "worth": 0.45}]}`

func writeLossesReport(t *testing.T, raw string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scale-1.json")
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLossesSumUpToTheMissingWorth(t *testing.T) {
	rows, err := yuccameasure.ReadLosses([]string{writeLossesReport(t, lossesReport)})
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if lost := row.LostLate + row.LostRefused + row.LostFailed; math.Abs(lost+row.Worth-1) > 1e-9 {
			t.Errorf("%s: worth %v and losses of %v, want 1 together", row.Kind, row.Worth, lost)
		}
	}
	var text, lines bytes.Buffer
	if err := yuccameasure.WriteLosses(rows, &text, &lines); err != nil {
		t.Fatal(err)
	}
	want := `lost worth by cause
      day    kind  owed  on time   late  refused  failed  worth  lost: late  lost: refused  lost: failed
  scale-1    note   200    0.500  0.200    0.200   0.100  0.600       0.100          0.200         0.100
  scale-1  ticket   180    0.778  0.111    0.111   0.000  0.950       0.000          0.050         0.000
  scale-1     all   380    0.632  0.158    0.158   0.053  0.700       0.089          0.158         0.053

`
	if text.String() != want {
		t.Errorf("got\n%swant\n%s", text.String(), want)
	}
}

func TestLossesAreDrawnOverTheDay(t *testing.T) {
	svg, err := yuccameasure.DrawLosses(writeLossesReport(t, lossesReport))
	if err != nil {
		t.Fatal(err)
	}
	if err := xml.Unmarshal(svg, new(struct{})); err != nil || !bytes.Contains(svg, []byte("refused")) {
		t.Errorf("no plot of what became of requests: %v", err)
	}
}

func TestLossesRefuseOtherFiles(t *testing.T) {
	for _, raw := range []string{"not JSON", "{}"} {
		if _, err := yuccameasure.ReadLosses([]string{writeLossesReport(t, raw)}); err == nil {
			t.Errorf("%q was read as a report", raw)
		}
	}
}
