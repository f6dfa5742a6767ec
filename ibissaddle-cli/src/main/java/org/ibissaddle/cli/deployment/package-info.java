/** Deployments that run in one process, for the demo and for experiments. */
package org.ibissaddle.cli.deployment;
