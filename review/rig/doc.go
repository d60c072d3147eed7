// Command rig plays the scripts of the second review: it starts the project's gateway as the deploy file does, beside
// stand-ins of the platform's store, of its servers and of its clients, and checks one rule from outside.
package main
