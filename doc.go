// Package cherviltide defines the value types and interfaces that the packages of the load balancer share. It has no
// behaviour beyond small methods on its values; the implementations are in the packages below it.
package cherviltide
