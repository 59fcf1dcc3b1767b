// Package quest turns a team's answers about its services, hosts and ranks of work into a configuration
// and the settings of each host.
package quest
