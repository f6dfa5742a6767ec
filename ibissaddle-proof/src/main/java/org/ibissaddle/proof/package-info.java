/** Module of failure tests with real processes, scenarios and benchmarks; the code is in {@code src/test}. */
package org.ibissaddle.proof;
