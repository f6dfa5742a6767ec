/** Internals of the model engine stand-in: batching, prefix cache, streams and orders. */
package org.ibissaddle.standins.internal.engine;
