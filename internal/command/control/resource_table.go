// The table columns of each kind of resource.

package control

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"lacewingrock.example/lacewingrock/internal/catalog/codec"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// resourceTable lists resources of one kind.
func resourceTable(raw []json.RawMessage) (t table, err error) {
	for _, item := range raw {
		r, _, err := codec.DecodeResource(item)
		if err != nil {
			return table{}, err
		}
		heading, row := columnsOf(r)
		t.heading = append([]string{"NAME", "RESOURCEVERSION"}, heading...)
		version := strconv.FormatInt(r.ResourceVersion(), 10)
		t.rows = append(t.rows, append([]string{r.ID().Name, version}, row...))
	}
	if len(t.rows) == 0 {
		t.heading = []string{"NAME", "RESOURCEVERSION"}
	}
	return t, nil
}

// columnsOf returns the headings of the resource's kind and the resource's row. It omits a key's hash,
// which is of no use to operators.
func columnsOf(r resource.Resource) (heading, row []string) {
	switch r := r.(type) {
	case resource.BaseModel:
		return nil, nil
	case resource.Workspace:
		return []string{"RATE", "BURST", "WEIGHT"},
			[]string{number(r.Rate), number(r.Burst), number(r.Weight)}
	case resource.Key:
		return []string{"WORKSPACE", "WITHDRAWN"}, []string{r.Workspace, strconv.FormatBool(r.Withdrawn)}
	case resource.Adapter:
		return []string{"BASEMODEL", "CURRENT", "WORKSPACES"}, []string{r.BaseModel, r.Current, namesOrAll(r.Workspaces)}
	case resource.AdapterVersion:
		return []string{"ADAPTER", "VERSION", "SOURCE"}, []string{r.Adapter, r.Version, r.Source}
	case resource.Upstream:
		return []string{"ADDRESS", "DATACENTRE", "BASEMODEL", "SLOTS", "BATCH", "CHECKSFENCING", "LEAVING"},
			[]string{
				r.Address, r.DataCentre, r.BaseModel, strconv.Itoa(r.Slots), strconv.Itoa(r.Batch),
				strconv.FormatBool(r.ChecksFencing), strconv.FormatBool(r.Leaving),
			}
	case resource.Service:
		return []string{"ADDRESSES", "REPEATABLE", "WORKSPACES"},
			[]string{namesOrAll(r.Addresses), strings.Join(r.Repeatable, ","), namesOrAll(r.Workspaces)}
	}
	panic(fmt.Sprintf("control: kind %s is missing from columnsOf", r.ID().Kind))
}

func number(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// namesOrAll joins the names. An empty list means no restriction and is shown as "(all)".
func namesOrAll(names []string) string {
	if len(names) == 0 {
		return "(all)"
	}
	return strings.Join(names, ",")
}
