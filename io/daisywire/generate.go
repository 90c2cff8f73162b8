// Package daisywire contains the generated protobuf types of the messages between VMs.
package daisywire

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
