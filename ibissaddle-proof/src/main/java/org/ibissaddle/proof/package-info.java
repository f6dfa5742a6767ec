/** Failure tests with real processes, scenarios and benchmarks; all of them are in the test tree. */
package org.ibissaddle.proof;
