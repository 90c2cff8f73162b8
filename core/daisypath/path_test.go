package daisypath_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyservice"
)

func ExampleTable_Find() {
	table := daisypath.NewTable([]daisypath.Route{
		{Name: "all", Host: "maps.example", Prefix: "/"},
		{Name: "orders", Host: "maps.example", Prefix: "/orders/"},
	})
	route, ok := table.Find("Maps.Example", "/orders/7")
	fmt.Println(route.Name, ok)
	// Output: orders true
}

func TestFindReturnsLongestPrefixInAnyOrder(t *testing.T) {
	routes := []daisypath.Route{
		{Name: "a", Host: "h", Prefix: "/a/"},
		{Name: "root", Host: "h", Prefix: "/"},
		{Name: "ab", Host: "h", Prefix: "/a/b/"},
		{Name: "duplicate", Host: "h", Prefix: "/a/"},
	}
	cases := []struct{ host, path, want string }{
		{"h", "/a/b/c", "ab"},
		{"h", "/a/bc", "a"},
		{"h", "/a", "root"},
		{"other", "/a/", ""},
	}
	for range routes {
		routes = append(routes[1:], routes[0])
		table := daisypath.NewTable(routes)
		for _, c := range cases {
			route, ok := table.Find(c.host, c.path)
			if route.Name == "duplicate" {
				route.Name = "a"
			}
			assert.Equal(t, route.Name, c.want, "%s%s", c.host, c.path)
			assert.Equal(t, ok, c.want != "")
		}
	}
}

func TestPartSelectsByWeight(t *testing.T) {
	id := func(name string) daisyservice.ID { return daisyservice.ID{Fleet: "f", Name: name} }
	route := daisypath.Route{Parts: []daisypath.Part{{Service: id("a"), Weight: 90}, {Service: id("b"), Weight: 0}, {Service: id("c"), Weight: 10}}}
	counts := make(map[string]int)
	for i := range 1000 {
		part, ok := route.Part(float64(i) / 1000)
		assert.Assert(t, ok)
		counts[part.Service.Name]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "c": 100})
	_, ok := daisypath.Route{}.Part(0.5)
	assert.Assert(t, !ok)
}
