// Package conf reads and validates the settings of a host and the configuration of the services.
package conf
