/** Queues requests until their pool has capacity; adapts the admission logic of the decision library to threads. */
package org.ibissaddle.daemon.admission;
