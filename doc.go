// Package cherviltide holds the value types and interfaces that the packages of the load balancer share.
// It has no behaviour beyond small methods on its values; implementations live in the packages below it.
package cherviltide
