/** Steps of the scenarios under {@code resources/features}. */
package org.ibissaddle.proof.scenario;
