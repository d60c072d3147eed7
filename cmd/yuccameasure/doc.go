// Command yuccameasure measures what daemons cost, with stand-ins on loopback.
package main
