// Package quest generates the configuration and the settings of each host from a team's answers to a questionnaire
// about its services, hosts and ranks of work.
package quest
