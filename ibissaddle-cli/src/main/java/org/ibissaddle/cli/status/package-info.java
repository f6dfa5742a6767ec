/** Collects the status of instances and prints it as a table for operators. */
package org.ibissaddle.cli.status;
