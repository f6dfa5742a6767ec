/** Starts the binary as real processes behind fault-injecting links. Start with {@link TestFleet}. */
package org.ibissaddle.proof.harness;
