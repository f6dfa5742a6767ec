/** Records events of the instance and shows them on the control port. */
package org.ibissaddle.daemon.timeline;
