/** Collects the status of instances and renders it as tables for operators. */
package org.ibissaddle.cli.status;
