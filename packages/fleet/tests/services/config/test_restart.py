"""Test that a daemon follows the configuration after an unexpected error."""


def test_unexpected_error_does_not_end_the_configuration(
    site, daemons, capsys
):
    # The loop ended without a log line, and the daemon kept an outdated
    # configuration for ever.
    task = daemons[0].kernel.find('config')
    apply_config = task._apply

    def fail_once(config):
        task._apply = apply_config
        raise RuntimeError('unexpected')

    task._apply = fail_once
    capsys.readouterr()
    site.set_config(10)
    site.run(500)
    assert task._config.version != 10
    assert 'Following the configuration failed' in capsys.readouterr().out
    site.run(3_000)
    assert task._config.version == 10
    site.set_config(11)
    site.run(3_000)
    assert task._config.version == 11
