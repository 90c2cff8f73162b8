package daisystand_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"daisyyoke/io/daisystand"
)

func ExampleNewEndpoint() {
	endpoint := daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 3})
	r := httptest.NewRequest(http.MethodPost, "http://orders.czechia/reprints", nil)
	r.Header.Set("Idempotency-Key", "order-7")
	w := httptest.NewRecorder()
	endpoint.ServeHTTP(w, r)
	body, _ := io.ReadAll(w.Body)
	fmt.Println(w.Code, w.Header().Get("Daisy-Load"))
	fmt.Println(string(body))
	endpoint.SetFaults(daisystand.Faults{ShedAll: true})
	w = httptest.NewRecorder()
	endpoint.ServeHTTP(w, r)
	fmt.Println(w.Code, w.Header().Get("Daisy-Run"), endpoint.Ran().Keys["order-7"])
	// Output:
	// 200 in-flight=1, slots=3, draining=?0
	// {"host":"orders.czechia","path":"/reprints","key":"order-7"}
	// 503 not-run 1
}
