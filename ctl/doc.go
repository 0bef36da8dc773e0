// Package ctl implements the commands of hyssopctl.
package ctl
