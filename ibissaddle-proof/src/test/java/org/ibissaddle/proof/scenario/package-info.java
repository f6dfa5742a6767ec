/** Step definitions of the Cucumber scenarios under {@code resources/features}, and the soak test. */
package org.ibissaddle.proof.scenario;
