// Package conf reads and checks the settings of a host and the configuration of the services.
package conf
