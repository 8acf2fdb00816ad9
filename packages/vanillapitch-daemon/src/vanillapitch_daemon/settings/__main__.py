"""Print the settings reference."""

from vanillapitch_daemon.settings import settings_reference

if __name__ == "__main__":
    print(settings_reference(), end="")
