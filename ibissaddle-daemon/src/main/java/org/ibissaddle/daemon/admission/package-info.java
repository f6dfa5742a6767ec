/** Holds requests until their pool can take them; adapts the admission of the decision library to threads. */
package org.ibissaddle.daemon.admission;
