/** A whole deployment in one process, for the demo and for trying things out. */
package org.ibissaddle.cli.deployment;
