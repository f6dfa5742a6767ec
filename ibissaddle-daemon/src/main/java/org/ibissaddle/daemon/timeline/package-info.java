/** Records events of the instance and serves them on the control port. */
package org.ibissaddle.daemon.timeline;
