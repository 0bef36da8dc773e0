// Package ctl implements the commands of hyssopctl, the operators' command line.
package ctl
