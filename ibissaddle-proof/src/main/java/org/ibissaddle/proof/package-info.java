/** Failure tests with real processes, scenarios and benchmarks; all of it is test code. */
package org.ibissaddle.proof;
